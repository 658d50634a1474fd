/**
 * The upstreams and the platform of a soak, each behind a proxy that injects faults.
 *
 * @packageDocumentation
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { PlatformStandin } from "../platform-standin.js";
import type { SurplusPlacement } from "../surplus-answers.js";
import type { UnframedEnding } from "../unframed-answers.js";
import { noAnnouncement, type UpstreamAnnouncement } from "../upstream-announcement.js";
import { defaultUpstreamBehaviour, type UpstreamBehaviour } from "../upstream-behaviour.js";
import { upstreamProbePath, UpstreamStandin } from "../upstream-standin.js";
import type { EntryProcess } from "./entry-process.js";
import { FaultProxy, type ProxyFault } from "./fault-proxy.js";
import { entryHeader } from "./soak-callers.js";
import type { SoakChecker } from "./soak-checker.js";

/** Options of {@link SoakServers}. */
export interface SoakServersOptions {
    readonly upstreams: number;
    readonly entries: number;
    readonly checker: SoakChecker;
}

/** An upstream and the proxy in front of it. */
export interface SoakUpstream {
    readonly name: string;
    readonly standin: UpstreamStandin;
    readonly proxy: FaultProxy;
    port: number;
    proxyPort: number;
    /** Whether the published configuration contains the upstream. */
    isConfigured: boolean;
}

/** Share of the responses that have an invalid header and close their connection. */
const chatterShare = 0.03;

/** Behaviour of an upstream without faults. */
export const initialBehaviour: UpstreamBehaviour = { ...defaultUpstreamBehaviour, meanServiceMs: 8, chatter: chatterShare };

/** Runs the upstreams and the platform in this process. */
export class SoakServers {
    readonly upstreams: readonly SoakUpstream[];
    readonly platform = new PlatformStandin();
    readonly platformProxy: FaultProxy;
    private platformPort = 0;
    private generation = 0;
    private entries: readonly EntryProcess[] = [];

    /** @param options - Numbers of upstreams and entry instances, and the checker. */
    constructor(private readonly options: SoakServersOptions) {
        this.platformProxy = new FaultProxy(() => this.platformPort);
        this.upstreams = Array.from({ length: options.upstreams }, (_, index) => {
            const standin = new UpstreamStandin(`main-${index + 1}`, initialBehaviour, index + 1);
            const upstream: SoakUpstream = {
                name: `main-${index + 1}`,
                standin,
                proxy: new FaultProxy(() => upstream.port),
                port: 0,
                proxyPort: 0,
                isConfigured: true,
            };
            standin.countsReads = true;
            standin.onArrival = (request, announced, response) => {
                this.recordArrival(upstream, request, announced);
                this.recordWork(upstream, request, response);
            };
            return upstream;
        });
    }

    /** Starts listening and publishes the first configuration. */
    async start(): Promise<{ readonly platformPort: number; }> {
        await Promise.all(this.upstreams.map(async upstream => {
            upstream.port = await upstream.standin.listen();
            upstream.proxyPort = await upstream.proxy.listen();
        }));
        this.platformPort = await this.platform.listen();
        this.publish();
        return { platformPort: await this.platformProxy.listen() };
    }

    /** The upstreams that the published configuration contains. */
    get configuredUpstreams(): readonly SoakUpstream[] {
        return this.upstreams.filter(({ isConfigured }) => isConfigured);
    }

    /** Sets the entry instances, to which arriving requests are attributed. */
    setEntries(entries: readonly EntryProcess[]): void {
        this.entries = entries;
    }

    /** Publishes the configuration under the next generation. */
    publish(): void {
        this.generation += 1;
        this.platform.publish("configuration", this.configuration(this.generation));
    }

    /** Publishes the previous generation, as a platform that has lost writes would. */
    publishOlder(): void {
        this.platform.publish("configuration", this.configuration(Math.max(1, this.generation - 1)));
    }

    /** Changes the behaviour of an upstream; backoffs that it has already announced remain in effect. */
    changeBehaviour(upstream: SoakUpstream, change: Partial<UpstreamBehaviour>): void {
        upstream.standin.behaviour = { ...upstream.standin.behaviour, ...change };
    }

    /** Sets the fault of the proxy of an upstream, and discards announcements that may be lost because of it. */
    setProxyFault({ name, proxy }: SoakUpstream, fault: ProxyFault): void {
        proxy.fault = fault;
        this.options.checker.clearAnnouncements(name);
    }

    /** Discards all announcements, because some may be lost. */
    clearAnnouncements(): void {
        this.upstreams.forEach(({ name }) => this.options.checker.clearAnnouncements(name));
    }

    /** Resets all connections to an upstream. */
    resetConnections({ name, proxy }: SoakUpstream): void {
        proxy.reset();
        this.options.checker.clearAnnouncements(name);
    }

    /** Number of surplus answers that upstreams sent, by their place. */
    get surplusCounts(): Readonly<Partial<Record<SurplusPlacement, number>>> {
        return sumOf(this.upstreams.map(({ standin }) => standin.surplus.sent));
    }

    /** Number of answers that ended with their connection, by their ending. */
    get unframedCounts(): Readonly<Partial<Record<UnframedEnding, number>>> {
        return sumOf(this.upstreams.map(({ standin }) => standin.unframed.sent));
    }

    /** Whether an upstream spoilt an answer to the request with a number, which may then be broken off towards its caller. */
    hasSpoilt(number: string): boolean {
        return this.upstreams.some(({ standin }) => standin.unframed.spoilt.has(number));
    }

    /** Returns how often upstreams ran the request with a number. */
    runCountOf(number: string): number {
        return this.upstreams.reduce((sum, { standin }) => sum + (standin.runs.get(number) ?? 0), 0);
    }

    /** Closes the upstreams, the platform and the proxies. */
    async close(): Promise<void> {
        const proxies = [this.platformProxy, ...this.upstreams.map(({ proxy }) => proxy)];
        await Promise.all([
            this.platform.close(),
            ...proxies.map(proxy => proxy.close()),
            ...this.upstreams.map(({ standin }) => standin.close()),
        ]);
    }

    private recordArrival(
        { name, proxy, standin }: SoakUpstream,
        request: IncomingMessage,
        announced: UpstreamAnnouncement,
    ): void {
        const entry = this.entries.find(({ options }) => options.name === request.headers[entryHeader]);
        if (entry !== undefined) {
            const { dropsResponses, dropsRequests } = proxy.fault;
            const mayBeLost = dropsResponses || dropsRequests || standin.behaviour.surplusShare > 0;
            const received = mayBeLost ? noAnnouncement : announced;
            const { incarnation, options } = entry;
            this.options.checker.recordArrival(name, { name: options.name, incarnation }, performance.now(), received);
        }
    }

    private recordWork({ proxy }: SoakUpstream, request: IncomingMessage, response: ServerResponse): void {
        const { leaveChecker } = this.options.checker;
        const number = String(request.headers["x-request-number"]);
        leaveChecker.recordArrival(number, {
            entry: String(request.headers[entryHeader]),
            delayMs: proxy.delayOf(request.socket.remotePort),
        });
        if (request.method === "GET") {
            leaveChecker.addWork(number, 1);
            response.once("close", () => leaveChecker.addWork(number, -1));
        }
    }

    private configuration(generation: number): string {
        return [
            `generation = ${generation}`,
            "[fleet]",
            `maximumInstances = ${this.options.entries}`,
            "[kind.read]",
            "repeatable = true",
            "timeoutMs = 3000",
            "[kind.issue]",
            "repeatable = false",
            "timeoutMs = 3000",
            "[policy.main]",
            "chooser = expected-time",
            "probeCandidates = 2",
            "probeTimeoutMs = 25",
            "[service.main]",
            "policy = main",
            `probePath = ${upstreamProbePath}`,
            ...this.configuredUpstreams.map(({ name, proxyPort }) =>
                `[upstream.${name}]\nservice = main\naddress = 127.0.0.1\nport = ${proxyPort}\navailabilityZone = zone-0`
            ),
            "[route.read]\nmethod = GET\npath = /read/*\nservice = main\nkind = read",
            ...["POST", "DELETE", "OPTIONS"].map(method =>
                `[route.${method.toLowerCase()}]\nmethod = ${method}\npath = /issue\nservice = main\nkind = issue`
            ),
        ].join("\n");
    }
}

/** Adds up counts by their names. */
const sumOf = <Name extends string>(counts: readonly Partial<Record<Name, number>>[]): Partial<Record<Name, number>> =>
    counts.reduce<Partial<Record<Name, number>>>((sum, some) => {
        (Object.keys(some) as Name[]).forEach(name => sum[name] = (sum[name] ?? 0) + (some[name] ?? 0));
        return sum;
    }, {});
