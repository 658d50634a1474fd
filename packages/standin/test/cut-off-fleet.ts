/**
 * A fleet of daemons in this process, some of which can be cut off from all upstreams while callers, peers and the platform
 * still reach them.
 */

import type { Daemon, DaemonPorts } from "@harrierhitch/daemon";
import { PlatformStandin, UpstreamStandin } from "../src/index.js";
import { MappedTransport } from "../src/mapped-transport.js";
import { type PathCut, PathProxies } from "../src/path-proxies.js";
import { startDaemon, waitUntil } from "./system.js";

/** Options of {@link startCutOffFleet}. */
export interface CutOffFleetOptions {
    readonly instances: number;
    /** Number of instances, the first ones, whose paths to upstreams can be cut. */
    readonly cuttable: number;
    /** Lines that are added to the settings. */
    readonly settings?: string;
}

/** One response of the fleet. */
export interface FleetResponse {
    /** HTTP status; `undefined` if the connection was lost. */
    readonly status: number | undefined;
    readonly outcome: string | null;
    readonly key: string;
    readonly body: string;
}

/** A running fleet. */
export interface CutOffFleet {
    readonly daemons: readonly Daemon[];
    readonly ports: readonly DaemonPorts[];
    readonly upstreams: readonly UpstreamStandin[];
    readonly platform: PlatformStandin;
    /** Sends one request to an instance, with an idempotency key of its own. */
    send(instance: number, method: "GET" | "POST", service?: string): Promise<FleetResponse>;
    /** Cuts the paths of instances to all upstreams, or to those with the given numbers. */
    cut(instances: readonly number[], cut: PathCut, upstreams?: readonly number[]): void;
    heal(instances: readonly number[]): void;
    /** How often upstreams ran the request with a key. */
    runsOf(key: string): number;
    stop(): Promise<void>;
}

const services = ["alpha", "beta"];
const upstreamsPerService = 3;

/** Starts a fleet and waits until all instances serve and know each other. */
export const startCutOffFleet = async ({ instances, cuttable, settings = "" }: CutOffFleetOptions): Promise<CutOffFleet> => {
    const platform = new PlatformStandin();
    const upstreams = services.flatMap(service =>
        Array.from({ length: upstreamsPerService }, (_, index) => {
            const standin = new UpstreamStandin(`${service}-${index + 1}`, { meanServiceMs: 5, slots: 16 }, index + 1);
            standin.countsReads = true;
            return standin;
        })
    );
    const upstreamPorts = await Promise.all(upstreams.map(upstream => upstream.listen()));
    platform.publish("configuration", configurationText(instances, upstreamPorts));
    const platformPort = await platform.listen();
    const proxies = await Promise.all(Array.from({ length: cuttable }, () => PathProxies.start(upstreamPorts)));
    const daemons: Daemon[] = [];
    const ports: DaemonPorts[] = [];
    for (let index = 0; index < instances; index += 1) {
        const transport = new MappedTransport(port => proxies[index]?.portOf(port) ?? port);
        const seedPorts = ports.map(({ peers }) => peers).slice(0, 2);
        const daemon = startDaemon(platformPort, settings, `entry-${index + 1}`, "", seedPorts, "", { transport });
        daemons.push(daemon);
        ports.push(await daemon.start());
    }
    await waitUntil(() => daemons.every(({ instance }) => instance.stage === "serving"));
    await waitUntil(() => daemons.every(({ instance }) => instance.fleet?.members.alive.length === instances));
    let sent = 0;
    const send: CutOffFleet["send"] = async (instance, method, service = "alpha") => {
        sent += 1;
        const key = `${service}-${sent}`;
        try {
            const response = await fetch(`http://127.0.0.1:${ports[instance]?.callers}/${service}/${method.toLowerCase()}`, {
                method,
                headers: { "idempotency-key": key },
                ...(method === "POST" ? { body: key } : {}),
            });
            return {
                status: response.status,
                outcome: response.headers.get("x-request-outcome"),
                key,
                body: await response.text(),
            };
        }
        catch {
            return { status: undefined, outcome: null, key, body: "" };
        }
    };
    return {
        daemons,
        ports,
        upstreams,
        platform,
        send,
        cut: (indices, cut, numbers) => {
            const cutPorts = numbers?.map(number => upstreamPorts[number] ?? 0);
            indices.forEach(index => proxies[index]?.cut(cut, cutPorts));
        },
        heal: indices => indices.forEach(index => proxies[index]?.heal()),
        runsOf: key => upstreams.reduce((sum, { runs }) => sum + (runs.get(key) ?? 0), 0),
        stop: async () => {
            await Promise.all(daemons.map(daemon => daemon.stop()));
            await Promise.all([platform.close(), ...upstreams.map(upstream => upstream.close())]);
            await Promise.all(proxies.map(proxy => proxy.stop()));
        },
    };
};

const configurationText = (instances: number, ports: readonly number[]): string => `
generation = 1
[fleet]
maximumInstances = ${instances}
[kind.read]
repeatable = true
timeoutMs = 2000
[kind.issue]
repeatable = false
timeoutMs = 2000
[policy.main]
chooser = expected-time
${
    services.map((service, serviceIndex) => `
[service.${service}]
policy = main
[route.${service}-read]
method = GET
path = /${service}/get
service = ${service}
kind = read
[route.${service}-issue]
method = POST
path = /${service}/post
service = ${service}
kind = issue
${
        ports.slice(serviceIndex * upstreamsPerService, (serviceIndex + 1) * upstreamsPerService).map((port, index) => `
[upstream.${service}-${index + 1}]
service = ${service}
address = 127.0.0.1
port = ${port}
availabilityZone = hall-a`).join("\n")
    }`).join("\n")
}
`;
