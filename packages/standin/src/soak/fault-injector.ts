/**
 * Injects the planned faults of a soak.
 *
 * @packageDocumentation
 */

import type { PathCut } from "../path-proxies.js";
import type { UpstreamBehaviour } from "../upstream-behaviour.js";
import type { EntryProcess } from "./entry-process.js";
import { noFault, type ProxyFault } from "./fault-proxy.js";
import type { FaultKind, PlannedFault } from "./fault-schedule.js";
import type { SoakChecker } from "./soak-checker.js";
import { initialBehaviour, type SoakServers, type SoakUpstream } from "./soak-servers.js";
import { stopSeriesOf } from "./stop-series.js";
import { sendSurplus } from "./surplus-fault.js";

/** Time from killing an instance to its restart, in milliseconds. */
const restartMs = 200;

/** Time for which a draining upstream stays in the configuration, in milliseconds, in addition to the fault's duration. */
const additionalDrainMs = 3000;

/** Time for which an upstream announces a rate limit, in milliseconds, in addition to the fault's duration. */
const additionalLimitMs = 6000;

/** Fault duration in milliseconds per unit of the announced limit; results in limits of one to five requests per second. */
const msPerLimitUnit = 300;

/** Delay of each chunk, in milliseconds; short enough that no caller times out. */
const delayMs = 120;

const upstreamFaults: Partial<Record<FaultKind, (durationMs: number) => Partial<UpstreamBehaviour>>> = {
    "upstream-hangs": () => ({ hang: true }),
    "upstream-resets": () => ({ reset: true }),
    "upstream-fails": () => ({ failStatus: 500 }),
    "upstream-slow": () => ({ slowness: 20 }),
    "upstream-rests": durationMs => ({ restMs: Math.round(durationMs) + 1000 }),
    "upstream-unframed": () => ({ unframedShare: 0.8 }),
};

const { hang, reset, failStatus, slowness, restMs, unframedShare } = initialBehaviour;
const normalBehaviour: Partial<UpstreamBehaviour> = { hang, reset, failStatus, slowness, restMs, unframedShare };

const proxyFaults: Partial<Record<FaultKind, Partial<ProxyFault>>> = {
    "way-slow": { delayMs },
    "way-deaf": { dropsRequests: true },
    "way-mute": { dropsResponses: true },
};

const cuts: Partial<Record<FaultKind, PathCut>> = {
    "cut-silent": "silent",
    "cut-refusing": "refusing",
    "cut-new-refused": "new-refused",
    "cut-lossy": "lossy",
};

/** Time for which an instance is cut off, in milliseconds, in addition to the fault's duration; long enough to be compared. */
const additionalCutMs = 2500;

/** Interval at which the states of the instances are read during a cut, in milliseconds. */
const statePollMs = 20;

/** Time after the beginning of a cut within which responses with announcements may be lost, in milliseconds. */
const lostResponsesMs = 1000;

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, durationMs)));

/** Injects faults at their planned times; faults may overlap. */
export class FaultInjector {
    private hasDrained = false;
    private isLimiting = false;
    private readonly cutOffEntries = new Set<EntryProcess>();

    /**
     * @param entries - The entry instances.
     * @param servers - The upstreams and the platform.
     * @param checker - Records when instances were cut off, and planned stops that did not end as planned.
     */
    constructor(
        private readonly entries: readonly EntryProcess[],
        private readonly servers: SoakServers,
        private readonly checker: SoakChecker,
    ) {}

    /** Injects all faults; resolves when the last one has ended and all processes run again. */
    async injectAll(faults: readonly PlannedFault[]): Promise<void> {
        const startedAtMs = performance.now();
        await Promise.all(faults.map(async fault => {
            await wait(startedAtMs + fault.atMs - performance.now());
            await this.inject(fault);
        }));
    }

    private async inject({ kind, durationMs, target }: PlannedFault): Promise<void> {
        const upstream = this.servers.upstreams[Math.floor(target * this.servers.upstreams.length)];
        const change = upstreamFaults[kind];
        const proxyFault = proxyFaults[kind];
        const cut = cuts[kind];
        if (upstream !== undefined && change !== undefined) {
            await this.changeBehaviour(upstream, change(durationMs), durationMs);
        }
        else if (upstream !== undefined && proxyFault !== undefined) {
            this.servers.setProxyFault(upstream, { ...noFault, ...proxyFault });
            await wait(durationMs);
            this.servers.setProxyFault(upstream, noFault);
        }
        else if (cut !== undefined) {
            await this.cutOff(cut, durationMs + additionalCutMs, target);
        }
        else if (upstream !== undefined && kind === "way-reset") {
            this.servers.resetConnections(upstream);
        }
        else if (upstream !== undefined && kind === "upstream-leaves") {
            await this.drainUpstream(upstream, durationMs);
        }
        else if (upstream !== undefined && kind === "upstream-limits") {
            await this.limitUpstream(upstream, durationMs);
        }
        else if (kind === "upstream-surplus") {
            await sendSurplus(this.servers, durationMs, target);
        }
        else {
            await this.injectOther(kind, durationMs, target);
        }
    }

    private async injectOther(kind: FaultKind, durationMs: number, target: number): Promise<void> {
        const { platform, platformProxy } = this.servers;
        switch (kind) {
            case "pause":
            case "kill":
            case "stop":
                await this.injectEntryFault(kind, durationMs, target);
                return;
            case "platform-fails":
                platform.behaviour = { failStatus: 503 };
                break;
            case "platform-garbled":
                platform.behaviour = { garbage: "generation = [" };
                break;
            case "platform-deaf":
                platformProxy.fault = { ...noFault, dropsRequests: true };
                break;
            case "publish-older":
                this.servers.publishOlder();
                return;
            default:
                this.servers.publish();
                return;
        }
        await wait(durationMs);
        platform.behaviour = {};
        platformProxy.fault = noFault;
    }

    /** Pauses, kills or stops a running instance, unless it is the only one. */
    private async injectEntryFault(kind: "pause" | "kill" | "stop", durationMs: number, target: number): Promise<void> {
        const running = this.entries.filter(({ state }) => state === "running");
        const entry = running[Math.floor(target * running.length)];
        if (entry === undefined || running.length < 2) {
            return;
        }
        if (kind === "pause") {
            await entry.pause(durationMs);
            return;
        }
        if (kind === "kill") {
            entry.kill();
            await wait(restartMs);
        }
        else {
            const stop = stopSeriesOf({ durationMs, target });
            if (!await entry.stop(stop)) {
                this.checker.recordUnplannedEnd(entry.options.name, stop.stopMs);
            }
        }
        await entry.start();
    }

    /** Cuts off a running instance from all upstreams, unless no other one would be left or it is cut off already. */
    private async cutOff(cut: PathCut, durationMs: number, target: number): Promise<void> {
        const candidates = this.entries.filter(entry => entry.state === "running" && !this.cutOffEntries.has(entry));
        const entry = candidates[Math.floor(target * candidates.length)];
        if (entry === undefined || candidates.length < 2) {
            return;
        }
        const { pathChecker } = this.checker;
        const { incarnation, options: { name, paths } } = entry;
        const fromMs = performance.now();
        this.cutOffEntries.add(entry);
        paths.cut(cut);
        // The instance, and those that were neither cut off nor stopped, paused or killed since the beginning.
        const incarnations = new Map(this.entries.map(other => [other, other.incarnation]));
        const steady = new Set(this.entries);
        const poll = setInterval(() => {
            this.entries.forEach(other => {
                const isCutOff = other !== entry && this.cutOffEntries.has(other);
                if (isCutOff || other.state !== "running" || other.incarnation !== incarnations.get(other)) {
                    steady.delete(other);
                }
            });
        }, statePollMs);
        this.servers.clearAnnouncements();
        await wait(lostResponsesMs);
        this.servers.clearAnnouncements();
        await wait(durationMs - lostResponsesMs);
        clearInterval(poll);
        pathChecker.recordCut({
            entry: name,
            incarnation,
            fromMs,
            untilMs: performance.now(),
            isComparable: steady.has(entry) && steady.size > 1,
        });
        paths.heal();
        this.cutOffEntries.delete(entry);
        this.servers.clearAnnouncements();
    }

    private async changeBehaviour(upstream: SoakUpstream, change: Partial<UpstreamBehaviour>, durationMs: number): Promise<void> {
        this.servers.changeBehaviour(upstream, change);
        await wait(durationMs);
        this.servers.changeBehaviour(upstream, normalBehaviour);
    }

    /** Makes an upstream announce a rate limit, long enough to be checked; only one at a time, so that the others can serve. */
    private async limitUpstream(upstream: SoakUpstream, durationMs: number): Promise<void> {
        if (this.isLimiting) {
            return;
        }
        this.isLimiting = true;
        this.servers.changeBehaviour(upstream, { limitPerSecond: Math.round(durationMs) / msPerLimitUnit });
        await wait(durationMs + additionalLimitMs);
        this.servers.changeBehaviour(upstream, { limitPerSecond: undefined });
        this.isLimiting = false;
    }

    /** Drains an upstream and then removes it from the configuration; at most one in a soak. */
    private async drainUpstream(upstream: SoakUpstream, durationMs: number): Promise<void> {
        if (this.hasDrained) {
            return;
        }
        this.hasDrained = true;
        this.servers.changeBehaviour(upstream, { draining: true });
        await wait(durationMs + additionalDrainMs);
        upstream.isConfigured = false;
        this.servers.publish();
    }
}
