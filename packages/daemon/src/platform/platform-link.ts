/**
 * Passes the platform's publications to the instance, and its availability to the fleet.
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
    /** Delay before a reader retries while the platform is unavailable, in milliseconds. */
    readonly retryMs: number;
    /** Longest long poll of an instance without subscribers, in milliseconds. */
    readonly watchMs: number;
    readonly times: FleetTimes;
    /** Whether this instance is about to join a fleet, from which it will receive publications. */
    readonly willJoin: () => boolean;
    /** Checks for a stall and, if there was one, calls {@link PlatformLink.recordStall}. */
    readonly checkForStall: () => void;
    /** Time up to which all that had arrived has been delivered by the event loop. */
    readonly deliveredUpToMs: () => number;
    /** Whether this instance has served callers; without callers it need not be up to date. */
    readonly hasCallers: () => boolean;
}

/** Time after joining the fleet in which other instances may send what this one lacks, in milliseconds. */
const joinGraceMs = 600;

/** Minimum delay before an instance that is not a reader retries while the platform is unavailable, in milliseconds. */
const nonReaderRetryMs = 2000;

/**
 * Time after the first read, whose response may be stale, in which an instance waits for updates from the fleet before
 * it reads again, in milliseconds.
 */
const secondReadDelayMs = 1500;

/** The same for an instance that has not joined the fleet yet and receives no updates from it. */
const unjoinedSecondReadDelayMs = 700;

/** Combined rate of retries by all instances that are not readers while the platform is unavailable. */
const fleetRetriesPerSecond = 5;

/**
 * Time after the platform's recovery in which entries that expired during the outage may still be missing although
 * their upstreams are running, in milliseconds.
 */
const expiryGraceMs = 1300;

/** Watches the platform on behalf of an instance. */
export class PlatformLink {
    private readonly watcher: PlatformWatcher;
    private recoveredAtMs = -Infinity;
    private initialReadAtMs = -Infinity;
    /** Time up to which the platform has confirmed that no change is missing. */
    private confirmedAtMs = -Infinity;
    /** Time of this instance's next direct call to the platform while its distributors are stale. */
    private directCallAtMs: number | undefined;
    private isUnavailable = false;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs, times } = options;
        this.watcher = new PlatformWatcher({
            platform,
            clock,
            random,
            retryMs: () => this.isReader ? retryMs : nonReaderRetryMs,
            batchMs: times.batchMs,
            dueInMs: () => this.dueInMs(),
            longPollMs: () => this.watchMs,
            appliedRevision: () => instance.directory.revision,
            onPublication: (publication, kind, asOfMs) => this.applyPublication(publication, kind, asOfMs),
            checkForStall: options.checkForStall,
            deliveredUpToMs: options.deliveredUpToMs,
            onCallEnd: () => instance.fleet?.directReads.end(),
            onUnavailable: error => this.onUnavailable(error),
            onUnusableChanges: (error, revision) => this.onUnusableChanges(error, revision),
            onRecovered: () => this.onRecovered(),
        });
    }

    /** Milliseconds since the platform's last response; negative if there was none. */
    get lastResponseAgeMs(): number {
        return this.watcher.lastResponseAgeMs;
    }

    /** Duration of the call to the platform that is in progress, in milliseconds; `undefined` if there is none. */
    get callMs(): number | undefined {
        return this.watcher.callMs;
    }

    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    get stalenessMs(): number {
        const { instance: { fleet }, clock } = this.options;
        return Math.min(fleet?.stalenessTracker.stalenessMs ?? Infinity, clock.nowMs() - this.confirmedAtMs);
    }

    /** Whether this instance needs published changes and its last call to the platform did not fail. */
    get mayRead(): boolean {
        return !this.isUnavailable && this.options.hasCallers();
    }

    /** Milliseconds for which removals remain unconfirmed because the platform was unavailable until recently. */
    get removalGraceMs(): number {
        const sinceMs = this.options.clock.nowMs() - this.recoveredAtMs;
        return this.isUnavailable ? expiryGraceMs : Math.max(0, expiryGraceMs - sinceMs);
    }

    /** Starts watching the platform. */
    start(): void {
        this.watcher.start();
    }

    /** Stops watching the platform. */
    stop(): void {
        this.watcher.stop();
    }

    /** Records that the process was stalled until now, so that a response received before the stall does not count as new. */
    recordStall(): void {
        this.watcher.recordStall();
    }

    private get isReader(): boolean {
        const { fleet } = this.options.instance;
        return fleet === undefined ? !this.options.willJoin() : fleet.roles.isReader;
    }

    /** Upper bound of the random delay before a direct call while the distributors are stale, in milliseconds. */
    private get maximumDirectDelayMs(): number {
        const alive = this.options.instance.fleet?.members.alive.length ?? 1;
        return Math.max(nonReaderRetryMs, alive * 1000 / fleetRetriesPerSecond);
    }

    /** Readers use long polls; other instances only fetch the changes they missed. */
    private get watchMs(): number {
        const { instance: { fleet }, times, watchMs } = this.options;
        if (!this.isReader) {
            return 0;
        }
        return fleet?.roles.hasSubscribers === true ? Math.min(times.confirmMs, watchMs) : watchMs;
    }

    private dueInMs(): number {
        const { instance, clock } = this.options;
        const isDirectReadDue = (instance.fleet?.directReads.pendingGeneration ?? 0) > 0;
        if (this.isReader || isDirectReadDue || instance.directory.revision === 0) {
            return 0;
        }
        const secondReadInMs = this.initialReadAtMs
            + (instance.fleet === undefined ? unjoinedSecondReadDelayMs : secondReadDelayMs)
            - clock.nowMs();
        return Math.max(
            0,
            secondReadInMs,
            instance.fleet === undefined ? this.dueBeforeJoinInMs() : this.dueInFleetInMs(instance.fleet),
        );
    }

    /** Before joining, an instance reads again only if it has callers and its state is stale. */
    private dueBeforeJoinInMs(): number {
        const { clock, times, hasCallers } = this.options;
        return hasCallers() ? this.confirmedAtMs + times.staleAfterMs - clock.nowMs() : Infinity;
    }

    /**
     * A fleet member calls the platform when its distributors no longer send updates; relays do so a little earlier, so that
     * one call serves the availability zone. While distributors are cut off from the platform, it rarely calls.
     */
    private dueInFleetInMs(fleet: Fleet): number {
        const { times, clock, random, hasCallers } = this.options;
        const nowMs = clock.nowMs();
        const isRelay = fleet.roles.isRelay;
        if (!isRelay && !hasCallers()) {
            return Infinity;
        }
        const staleInMs = times.staleAfterMs - (isRelay ? times.relayLeadMs : 0) - this.stalenessMs;
        if (!fleet.calls.isDistributorCutOff) {
            this.directCallAtMs = undefined;
            return Math.max(staleInMs, fleet.joinedAtMs + joinGraceMs - nowMs);
        }
        // The delay is random over the full interval, so that some instance soon detects a platform that fails only for readers
        // and relays.
        this.directCallAtMs ??= nowMs + this.maximumDirectDelayMs * random.next();
        const dueInMs = Math.max(staleInMs, this.directCallAtMs - nowMs);
        // If this attempt fails, the next delay is drawn anew.
        this.directCallAtMs = dueInMs <= 0 ? undefined : this.directCallAtMs;
        return dueInMs;
    }

    private applyPublication(publication: Publication, kind: PublicationKind, asOfMs: number): void {
        const { instance, clock } = this.options;
        instance.applyPublication(publication, kind !== "changes");
        if (kind === "stale-snapshot") {
            this.initialReadAtMs = clock.nowMs();
            return;
        }
        this.confirmedAtMs = asOfMs;
        instance.fleet?.stalenessTracker.confirm(clock.nowMs() - asOfMs);
    }

    private onUnusableChanges(error: Error, revision: number): void {
        this.options.log.write(events.changesUnusable, { revision, error });
    }

    private onUnavailable(error: Error): void {
        const { fleet, directory } = this.options.instance;
        this.isUnavailable = true;
        this.options.instance.recordPlatformFailure();
        fleet?.members.updateSelf({ platformReachable: false });
        fleet?.gossipNow();
        this.options.log.write(events.platformFailed, { revision: directory.revision, error });
    }

    /** Called before the response is applied, so that removals in it are treated as unconfirmed. */
    private onRecovered(): void {
        const { fleet, directory } = this.options.instance;
        this.isUnavailable = false;
        this.recoveredAtMs = this.options.clock.nowMs();
        fleet?.members.updateSelf({ platformReachable: true });
        this.options.log.write(events.platformRecovered, { revision: directory.revision });
    }
}
