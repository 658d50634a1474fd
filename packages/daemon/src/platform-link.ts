/**
 * This instance's link to the platform: what it tells reaches the instance, and
 * its absence is told to the others.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Instance } from "./instance.js";
import { PlatformFollower } from "./platform-follower.js";
import type { Platform } from "./platform.js";

/** Options of {@link PlatformLink}. */
export interface PlatformLinkOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: Instance;
    readonly log: EventLog;
    /** Shortest time between two tries while the platform is down. */
    readonly retryMs: number;
}

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
    private isLost = false;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs } = options;
        this.follower = new PlatformFollower({
            platform,
            clock,
            random,
            retryMs: () => Math.max(retryMs, (instance.fleet?.members.alive.length ?? 1) * 1000 / fleetTriesPerSecond),
            // An instance that cannot reach the platform goes on trying, so that it notices when it can again.
            isReader: () => instance.fleet === undefined || instance.fleet.isReader || this.isLost,
            knownRevision: () => instance.directory.revision,
            onPublication: (publication, isWhole) => instance.takePublication(publication, isWhole),
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
