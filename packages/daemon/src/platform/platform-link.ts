/**
 * This instance's link to the platform: what it tells reaches the instance, and
 * its absence is told to the others.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Instance } from "../instance.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import { PlatformFollower, type PublicationKind } from "./platform-follower.js";
import type { Platform, Publication } from "./platform.js";

/** Options of {@link PlatformLink}. */
export interface PlatformLinkOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: Pick<Instance, "fleet" | "directory" | "takePublication">;
    readonly log: EventLog;
    /** Shortest time between two tries while the platform is down. */
    readonly retryMs: number;
    /** Longest time of a watch of an instance that reads for itself alone. */
    readonly watchMs: number;
}

/** Time of a watch of a reader that others rely on: they ask the platform themselves when it tells nothing for 1.5 s. */
const readerWatchMs = 1000;

/** Time between two tries of an instance that is no reader, while the platform is down. */
const followerRetryMs = 2000;

/** Time after the first read in which an instance may hear from a reader that nothing is missing. */
const firstAskMs = 1500;

/** The whole fleet together tries at most so often a second while the platform is down. */
const fleetTriesPerSecond = 100;

/**
 * Time after the platform's return for which entries that lapsed meanwhile may
 * still be missing although their upstreams live. Such entries may take two
 * seconds, but an instance that alone was cut off notices the return up to a
 * second late (seen) and has to know within three seconds what left meanwhile.
 */
const lapseGraceMs = 1300;

/** Follows the platform on behalf of an instance. */
export class PlatformLink {
    private readonly follower: PlatformFollower;
    private regainedAtMs = -Infinity;
    private readAtMs = -Infinity;
    private isLost = false;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs } = options;
        this.follower = new PlatformFollower({
            platform,
            clock,
            random,
            retryMs: () => this.isReader ? Math.max(retryMs, this.fleetShareMs) : followerRetryMs,
            dueInMs: () => this.dueInMs(),
            watchMs: () => this.watchMs,
            knownRevision: () => instance.directory.revision,
            onPublication: (publication, kind) => this.take(publication, kind),
            onLost: error => this.onLost(error),
            onRegained: () => this.onRegained(),
        });
    }

    /** Milliseconds since the platform last answered; negative if it never did. */
    get ageMs(): number {
        return this.follower.ageMs;
    }

    /** Milliseconds for which removals that the platform tells are doubtful, because it was away just now. */
    get doubtfulMs(): number {
        const sinceMs = this.options.clock.nowMs() - this.regainedAtMs;
        return this.isLost ? lapseGraceMs : Math.max(0, lapseGraceMs - sinceMs);
    }

    /** Begins to follow. */
    start(): void {
        this.follower.start();
    }

    /** Ends following. */
    stop(): void {
        this.follower.stop();
    }

    private get isReader(): boolean {
        const { fleet } = this.options.instance;
        return fleet === undefined || fleet.readers.isSelf;
    }

    private get fleetShareMs(): number {
        return (this.options.instance.fleet?.members.alive.length ?? 1) * 1000 / fleetTriesPerSecond;
    }

    /** A reader waits for changes; whoever is no reader asks only what it has missed. */
    private get watchMs(): number {
        const { fleet } = this.options.instance;
        if (!this.isReader) {
            return 0;
        }
        return fleet?.readers.hasFollowers === true ? Math.min(readerWatchMs, this.options.watchMs) : this.options.watchMs;
    }

    private dueInMs(): number {
        const { instance, clock } = this.options;
        const { fleet } = instance;
        if (fleet === undefined || this.isReader || instance.directory.revision === 0) {
            return 0;
        }
        const staleInMs = fleet.times.staleMs - fleet.freshness.ageMs;
        return Math.max(0, staleInMs, this.readAtMs + firstAskMs - clock.nowMs());
    }

    private take(publication: Publication, kind: PublicationKind): void {
        const { instance, clock } = this.options;
        instance.takePublication(publication, kind !== "changes");
        if (kind === "stale") {
            this.readAtMs = clock.nowMs();
        }
        else {
            instance.fleet?.freshness.confirm(0);
        }
    }

    private onLost(error: Error): void {
        const { fleet, directory } = this.options.instance;
        this.isLost = true;
        fleet?.members.tell({ platformReachable: false });
        fleet?.wakeLinks();
        this.options.log.write(events.platformFailed, { revision: directory.revision, error });
    }

    /** Called before the answer is taken in, so that what it lacks is doubted. */
    private onRegained(): void {
        const { fleet, directory } = this.options.instance;
        this.isLost = false;
        this.regainedAtMs = this.options.clock.nowMs();
        fleet?.members.tell({ platformReachable: true });
        this.options.log.write(events.platformRecovered, { revision: directory.revision });
    }
}
