/**
 * Playing the faults of a soak.
 *
 * @packageDocumentation
 */

import type { UpstreamBehaviour } from "../upstream-behaviour.js";
import type { EntryProcess } from "./entry-process.js";
import { noFault, type ProxyFault } from "./fault-proxy.js";
import type { FaultKind, PlannedFault } from "./fault-schedule.js";
import type { SoakServers, SoakUpstream } from "./soak-servers.js";

/** Time after which an instance that was killed is started again, in milliseconds. */
const restartMs = 200;

/** Time for which a leaving upstream serves on, in milliseconds, beyond the fault's own. */
const leavingMs = 3000;

/** Time for which an upstream names a limit, in milliseconds, beyond the fault's own. */
const limitedMs = 6000;

/** Time that the fault lasts for each request a second that the upstream takes, in milliseconds: limits from one to five. */
const limitFactorMs = 300;

/** Longest delay of a part on its way, in milliseconds: below what a caller notices as an outage. */
const delayMs = 120;

const upstreamFaults: Partial<Record<FaultKind, (forMs: number) => Partial<UpstreamBehaviour>>> = {
    "upstream-hangs": () => ({ hang: true }),
    "upstream-resets": () => ({ reset: true }),
    "upstream-fails": () => ({ failStatus: 500 }),
    "upstream-slow": () => ({ slowness: 20 }),
    "upstream-rests": forMs => ({ restMs: Math.round(forMs) + 1000 }),
};

const calm: Partial<UpstreamBehaviour> = { hang: false, reset: false, failStatus: 0, slowness: 1, restMs: 0 };

const wayFaults: Partial<Record<FaultKind, Partial<ProxyFault>>> = {
    "way-slow": { delayMs },
    "way-deaf": { isDeaf: true },
    "way-mute": { isMute: true },
};

const wait = (forMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, forMs)));

/** Plays faults at their times, so that they overlap. */
export class SoakFaults {
    private hasLeft = false;
    private isLimiting = false;

    /**
     * @param entries - The instances.
     * @param servers - Upstreams and platform.
     */
    constructor(private readonly entries: readonly EntryProcess[], private readonly servers: SoakServers) {}

    /** Plays all of them; fulfilled when the last has ended and everything runs again. */
    async play(faults: readonly PlannedFault[]): Promise<void> {
        const beganAtMs = performance.now();
        await Promise.all(faults.map(async fault => {
            await wait(beganAtMs + fault.atMs - performance.now());
            await this.strike(fault);
        }));
    }

    private async strike({ kind, forMs, target }: PlannedFault): Promise<void> {
        const upstream = this.servers.upstreams[Math.floor(target * this.servers.upstreams.length)];
        const change = upstreamFaults[kind];
        const way = wayFaults[kind];
        if (upstream !== undefined && change !== undefined) {
            await this.misbehave(upstream, change(forMs), forMs);
        }
        else if (upstream !== undefined && way !== undefined) {
            this.servers.setWay(upstream, { ...noFault, ...way });
            await wait(forMs);
            this.servers.setWay(upstream, noFault);
        }
        else if (upstream !== undefined && kind === "way-reset") {
            this.servers.resetWay(upstream);
        }
        else if (upstream !== undefined && kind === "upstream-leaves") {
            await this.leave(upstream, forMs);
        }
        else if (upstream !== undefined && kind === "upstream-limits") {
            await this.limit(upstream, forMs);
        }
        else {
            await this.strikeOthers(kind, forMs, target);
        }
    }

    private async strikeOthers(kind: FaultKind, forMs: number, target: number): Promise<void> {
        const { platform, platformProxy } = this.servers;
        switch (kind) {
            case "pause":
            case "kill":
            case "stop":
                await this.strikeEntry(kind, forMs, target);
                return;
            case "platform-fails":
                platform.behaviour = { failStatus: 503 };
                break;
            case "platform-garbled":
                platform.behaviour = { garbage: "generation = [" };
                break;
            case "platform-deaf":
                platformProxy.fault = { ...noFault, isDeaf: true };
                break;
            case "publish-older":
                this.servers.publishOlder();
                return;
            default:
                this.servers.publish();
                return;
        }
        await wait(forMs);
        platform.behaviour = {};
        platformProxy.fault = noFault;
    }

    /** Strikes an instance that runs, unless it is the last one that does. */
    private async strikeEntry(kind: "pause" | "kill" | "stop", forMs: number, target: number): Promise<void> {
        const running = this.entries.filter(({ state }) => state === "running");
        const entry = running[Math.floor(target * running.length)];
        if (entry === undefined || running.length < 2) {
            return;
        }
        if (kind === "pause") {
            await entry.pause(forMs);
            return;
        }
        if (kind === "kill") {
            entry.kill();
            await wait(restartMs);
        }
        else {
            await entry.stop();
        }
        await entry.start();
    }

    private async misbehave(upstream: SoakUpstream, change: Partial<UpstreamBehaviour>, forMs: number): Promise<void> {
        this.servers.behave(upstream, change);
        await wait(forMs);
        this.servers.behave(upstream, calm);
    }

    /** An upstream names how little it takes, for long enough that it can be judged; one at a time, so that the others serve. */
    private async limit(upstream: SoakUpstream, forMs: number): Promise<void> {
        if (this.isLimiting) {
            return;
        }
        this.isLimiting = true;
        this.servers.behave(upstream, { limitPerSecond: Math.round(forMs) / limitFactorMs });
        await wait(forMs + limitedMs);
        this.servers.behave(upstream, { limitPerSecond: undefined });
        this.isLimiting = false;
    }

    /** One upstream of a soak leaves: it says so for a while, and is then taken out of the configuration. */
    private async leave(upstream: SoakUpstream, forMs: number): Promise<void> {
        if (this.hasLeft) {
            return;
        }
        this.hasLeft = true;
        this.servers.behave(upstream, { draining: true });
        await wait(forMs + leavingMs);
        upstream.isListed = false;
        this.servers.publish();
    }
}
