/**
 * The upstreams and the platform of a soak, each behind a proxy that can fail.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { PlatformStandin } from "../platform-standin.js";
import type { UpstreamBehaviour } from "../upstream-behaviour.js";
import { type AskedByUpstream, asksNothing, upstreamProbePath, UpstreamStandin } from "../upstream-standin.js";
import type { EntryProcess } from "./entry-process.js";
import { FaultProxy, type ProxyFault } from "./fault-proxy.js";
import { entryHeader } from "./soak-callers.js";
import type { SoakJudge } from "./soak-checker.js";

/** Options of {@link SoakServers}. */
export interface SoakServersOptions {
    readonly upstreams: number;
    readonly entries: number;
    readonly judge: SoakJudge;
}

/** One upstream with the way to it. */
export interface SoakUpstream {
    readonly name: string;
    readonly standin: UpstreamStandin;
    readonly proxy: FaultProxy;
    port: number;
    proxyPort: number;
    /** Whether the configuration still names it. */
    isListed: boolean;
}

/** Share of the answers in which upstreams say what nobody can read, or close their connection. */
const chatter = 0.03;

const calm: Partial<UpstreamBehaviour> = { meanServiceMs: 8, chatter };

/** Runs them in this process. */
export class SoakServers {
    readonly upstreams: readonly SoakUpstream[];
    readonly platform = new PlatformStandin();
    readonly platformProxy: FaultProxy;
    private platformPort = 0;
    private generation = 0;
    private entries: readonly EntryProcess[] = [];

    /** @param options - How many, and who judges. */
    constructor(private readonly options: SoakServersOptions) {
        this.platformProxy = new FaultProxy(() => this.platformPort);
        this.upstreams = Array.from({ length: options.upstreams }, (_, index) => {
            const standin = new UpstreamStandin(`main-${index + 1}`, calm, index + 1);
            const upstream: SoakUpstream = {
                name: `main-${index + 1}`,
                standin,
                proxy: new FaultProxy(() => upstream.port),
                port: 0,
                proxyPort: 0,
                isListed: true,
            };
            standin.countsReads = true;
            standin.onArrival = (request, asks) => this.noteArrival(upstream, request, asks);
            return upstream;
        });
    }

    /** Begins to listen, and publishes the first configuration. */
    async start(): Promise<{ readonly platformPort: number; }> {
        await Promise.all(this.upstreams.map(async upstream => {
            upstream.port = await upstream.standin.listen();
            upstream.proxyPort = await upstream.proxy.listen();
        }));
        this.platformPort = await this.platform.listen();
        this.publish();
        return { platformPort: await this.platformProxy.listen() };
    }

    /** Tells whose requests arrive. */
    knowEntries(entries: readonly EntryProcess[]): void {
        this.entries = entries;
    }

    /** Publishes the configuration under the next generation. */
    publish(): void {
        this.generation += 1;
        this.platform.publish("configuration", this.configuration(this.generation));
    }

    /** Publishes an earlier generation, as a platform that has lost something might. */
    publishOlder(): void {
        this.platform.publish("configuration", this.configuration(Math.max(1, this.generation - 1)));
    }

    /** Changes how an upstream behaves; a rest that it asked for before holds to its end. */
    behave(upstream: SoakUpstream, change: Partial<UpstreamBehaviour>): void {
        upstream.standin.behaviour = { ...upstream.standin.behaviour, ...change };
    }

    /** Changes what happens on the way to an upstream; answers that are lost there ask for nothing. */
    setWay({ name, proxy }: SoakUpstream, fault: ProxyFault): void {
        proxy.fault = fault;
        this.options.judge.forgetAsked(name);
    }

    /** Breaks all connections on the way to an upstream. */
    resetWay({ name, proxy }: SoakUpstream): void {
        proxy.reset();
        this.options.judge.forgetAsked(name);
    }

    /** How often upstreams ran a request. */
    runsOf(number: string): number {
        return this.upstreams.reduce((sum, { standin }) => sum + (standin.runs.get(number) ?? 0), 0);
    }

    /** Ends everything. */
    async close(): Promise<void> {
        const proxies = [this.platformProxy, ...this.upstreams.map(({ proxy }) => proxy)];
        await Promise.all([
            this.platform.close(),
            ...proxies.map(proxy => proxy.close()),
            ...this.upstreams.map(({ standin }) => standin.close()),
        ]);
    }

    private noteArrival(
        { name, proxy }: SoakUpstream,
        request: IncomingMessage,
        asks: AskedByUpstream,
    ): void {
        const entry = this.entries.find(({ options }) => options.name === request.headers[entryHeader]);
        if (entry !== undefined) {
            const heard = proxy.fault.isMute || proxy.fault.isDeaf ? asksNothing : asks;
            const { incarnation, options } = entry;
            this.options.judge.noteArrival(name, { name: options.name, incarnation }, performance.now(), heard);
        }
    }

    private configuration(generation: number): string {
        const listed = this.upstreams.filter(({ isListed }) => isListed);
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
            ...listed.map(({ name, proxyPort }) =>
                `[upstream.${name}]\nservice = main\naddress = 127.0.0.1\nport = ${proxyPort}\navailabilityZone = zone-0`
            ),
            "[route.read]\nmethod = GET\npath = /read/*\nservice = main\nkind = read",
            "[route.issue]\nmethod = POST\npath = /issue\nservice = main\nkind = issue",
        ].join("\n");
    }
}
