/**
 * This instance's link to the platform: what it tells reaches the instance, and
 * its absence is told to the others.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import type { Instance } from "../instance.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import { PlatformWatcher, type PublicationKind } from "./platform-watcher.js";
import type { Platform, Publication } from "./platform.js";

/** Options of {@link PlatformLink}. */
export interface PlatformLinkOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: Pick<Instance, "fleet" | "directory" | "applyPublication" | "recordPlatformFailure">;
    readonly log: EventLog;
    /** Shortest time between two tries while the platform is down. */
    readonly retryMs: number;
    /** Longest time of a watch of an instance that reads for itself alone. */
    readonly watchMs: number;
    readonly times: FleetTimes;
    /** Whether this instance is going to join others, from whom it will hear what the platform tells. */
    readonly willJoin: () => boolean;
    /** Looks whether this process slept, and if so calls {@link PlatformLink.recordStall}. */
    readonly checkForStall: () => void;
    /** Whether callers have come to this instance: whoever serves nobody needs to know nothing. */
    readonly hasCallers: () => boolean;
}

/** Time after joining others in which they may tell what this instance lacks. */
const joinGraceMs = 600;

/** Shortest time between two tries of an instance that is no reader, while the platform is down. */
const followerRetryMs = 2000;

/**
 * Time after the first read, whose answer may be some seconds old, in which an instance may hear from others what it
 * lacks. With the second that a process takes to start it is below the three seconds after which callers may rely on it.
 */
const firstAskMs = 1500;

/**
 * The same for an instance that has not joined the others yet, and hears nothing from them. The second or two that a
 * process takes to start on a small core, and to take in a large configuration, come on top: asking later, it would refuse
 * routes that callers may rely on.
 */
const firstAskAloneMs = 700;

/** Instances that are no readers try at most so often a second together while the platform is down. */
const fleetTriesPerSecond = 5;

/**
 * Time after the platform's return for which entries that lapsed meanwhile may
 * still be missing although their upstreams live. Such entries may take two
 * seconds, but an instance that alone was cut off notices the return up to a
 * second late (seen) and has to know within three seconds what left meanwhile.
 */
const lapseGraceMs = 1300;

/** Follows the platform on behalf of an instance. */
export class PlatformLink {
    private readonly follower: PlatformWatcher;
    private regainedAtMs = -Infinity;
    private readAtMs = -Infinity;
    /** When the platform last told all that had changed. */
    private confirmedAtMs = -Infinity;
    /** When this instance tries itself although those it hears from are trying. */
    private rareTryAtMs: number | undefined;
    private isLost = false;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs, times } = options;
        this.follower = new PlatformWatcher({
            platform,
            clock,
            random,
            retryMs: () => this.isReader ? retryMs : followerRetryMs,
            batchMs: times.batchMs,
            dueInMs: () => this.dueInMs(),
            watchMs: () => this.watchMs,
            appliedRevision: () => instance.directory.revision,
            onPublication: (publication, kind, asOfMs) => this.take(publication, kind, asOfMs),
            checkForStall: options.checkForStall,
            onLost: error => this.onLost(error),
            onRecovered: () => this.onRegained(),
        });
    }

    /** Milliseconds since the platform last answered; negative if it never did. */
    get lastResponseAgeMs(): number {
        return this.follower.lastResponseAgeMs;
    }

    /** Milliseconds for which removals that the platform tells are doubtful, because it was away just now. */
    get removalGraceMs(): number {
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

    /** Notes that this process slept until now, so that no answer that lay here meanwhile is taken for a new one. */
    recordStall(): void {
        this.follower.recordStall();
    }

    private get isReader(): boolean {
        const { fleet } = this.options.instance;
        return fleet === undefined ? !this.options.willJoin() : fleet.roles.isReader;
    }

    /** Time between two tries of this instance while others try for it. */
    private get rareTryMs(): number {
        const alive = this.options.instance.fleet?.members.alive.length ?? 1;
        return Math.max(followerRetryMs, alive * 1000 / fleetTriesPerSecond);
    }

    /** A reader waits for changes; whoever is no reader asks only what it has missed. */
    private get watchMs(): number {
        const { instance: { fleet }, times, watchMs } = this.options;
        if (!this.isReader) {
            return 0;
        }
        return fleet?.roles.hasSubscribers === true ? Math.min(times.confirmMs, watchMs) : watchMs;
    }

    private dueInMs(): number {
        const { instance, clock } = this.options;
        if (this.isReader || instance.directory.revision === 0) {
            return 0;
        }
        const firstAskInMs = this.readAtMs + (instance.fleet === undefined ? firstAskAloneMs : firstAskMs) - clock.nowMs();
        return Math.max(
            0,
            firstAskInMs,
            instance.fleet === undefined ? this.dueAloneInMs() : this.dueInFleetInMs(instance.fleet),
        );
    }

    /** An instance that is going to join others asks only for its callers' sake, and only when what it knows is stale. */
    private dueAloneInMs(): number {
        const { clock, times, hasCallers } = this.options;
        return hasCallers() ? this.confirmedAtMs + times.staleAfterMs - clock.nowMs() : Infinity;
    }

    /**
     * An instance that hears from others asks when they tell nothing any more: a relay a little sooner, so that one call
     * serves its zone. While they answer that they know no better, it is they who try, and this one does so rarely.
     */
    private dueInFleetInMs(fleet: Fleet): number {
        const { times, clock, random, hasCallers } = this.options;
        const nowMs = clock.nowMs();
        const isRelay = fleet.roles.isRelay;
        if (!isRelay && !hasCallers()) {
            return Infinity;
        }
        const ageMs = Math.min(fleet.stalenessTracker.stalenessMs, nowMs - this.confirmedAtMs);
        const staleInMs = times.staleAfterMs - (isRelay ? times.relayLeadMs : 0) - ageMs;
        if (!fleet.isDistributorStale) {
            this.rareTryAtMs = undefined;
            return Math.max(staleInMs, fleet.joinedAtMs + joinGraceMs - nowMs);
        }
        // Drawn from the whole time: if nobody tried in its first half, nothing would be heard of a platform that serves all but the sources.
        this.rareTryAtMs ??= nowMs + this.rareTryMs * random.next();
        const dueInMs = Math.max(staleInMs, this.rareTryAtMs - nowMs);
        // The next try, should this one fail, is as far away again.
        this.rareTryAtMs = dueInMs <= 0 ? undefined : this.rareTryAtMs;
        return dueInMs;
    }

    private take(publication: Publication, kind: PublicationKind, asOfMs: number): void {
        const { instance, clock } = this.options;
        instance.applyPublication(publication, kind !== "changes");
        if (kind === "stale") {
            this.readAtMs = clock.nowMs();
            return;
        }
        this.confirmedAtMs = asOfMs;
        instance.fleet?.stalenessTracker.confirm(clock.nowMs() - asOfMs);
    }

    private onLost(error: Error): void {
        const { fleet, directory } = this.options.instance;
        this.isLost = true;
        this.options.instance.recordPlatformFailure();
        fleet?.members.updateSelf({ platformReachable: false });
        fleet?.gossipNow();
        this.options.log.write(events.platformFailed, { revision: directory.revision, error });
    }

    /** Called before the answer is taken in, so that what it lacks is doubted. */
    private onRegained(): void {
        const { fleet, directory } = this.options.instance;
        this.isLost = false;
        this.regainedAtMs = this.options.clock.nowMs();
        fleet?.members.updateSelf({ platformReachable: true });
        this.options.log.write(events.platformRecovered, { revision: directory.revision });
    }
}
