/**
 * Passes the platform's publications to the instance, and its availability to the fleet.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { FleetTimes } from "@harrierhitch/published";
import type { Instance } from "../instance.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import { CallSchedule, nonReaderRetryMs } from "./call-schedule.js";
import type { OverdueReason } from "./overdue-reason.js";
import type { PublicationKind } from "./platform-watcher-options.js";
import { PlatformWatcher } from "./platform-watcher.js";
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
    /** Whether responses that have arrived may not have been delivered yet, because the event loop is busy. */
    readonly isBehind: () => boolean;
    /** Whether this instance has served callers; without callers it need not be up to date. */
    readonly hasCallers: () => boolean;
}

/**
 * Time without the first bytes of a response after which the platform is taken to be silent, if others state that it does not respond to
 * them, in milliseconds. Without that, the call has to fail: a response may wait on its way for longer.
 */
const unansweredMs = 300;

/** Failed calls in a row that show an outage without another instance's statement; a single one may be rejected, reset or lost alone. */
const minimumFailures = 2;

/**
 * Time after the platform's recovery in which entries that expired during the outage may still be missing although
 * their upstreams are running, in milliseconds.
 */
const expiryGraceMs = 1300;

/** Time after the end of a long poll in which a call without an answer fails, and other instances know of it, in milliseconds. */
const callGraceMs = 1500;

/** Age up to which another instance's statement that the platform does not respond counts, in staleness bounds. */
const reportBounds = 2;

/** Staleness from which a reader that is served does not count any more, since nothing of it arrives here, in staleness bounds. */
const servedReaderBounds = 2;

/** Watches the platform on behalf of an instance. */
export class PlatformLink {
    private readonly watcher: PlatformWatcher;
    private readonly schedule: CallSchedule;
    private recoveredAtMs = -Infinity;
    /** Time up to which the platform has confirmed that no change is missing. */
    private confirmedAtMs = -Infinity;
    private isUnavailable = false;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs, times } = options;
        this.schedule = new CallSchedule({
            ...{ clock, random, times, instance, hasCallers: options.hasCallers },
            isReader: () => this.isReader,
            stalenessMs: () => this.stalenessMs,
        });
        this.watcher = new PlatformWatcher({
            platform,
            clock,
            random,
            retryMs: () => this.isReader || this.needsProof ? retryMs : nonReaderRetryMs,
            batchMs: times.batchMs,
            dueInMs: () => this.schedule.dueInMs(),
            longPollMs: () => this.watchMs,
            appliedRevision: () => instance.directory.revision,
            onPublication: (publication, kind, asOfMs) => this.applyPublication(publication, kind, asOfMs),
            checkForStall: options.checkForStall,
            mayRepeat: () => !options.isBehind() && this.reports === 0,
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
        return this.watcher.progress.callMs;
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

    /**
     * Why requests may be routed by the last known state, however old: the platform responds to no one, as two witnesses state, of which this
     * instance may be one; or there is no other instance that could know more. `undefined` if they may not.
     */
    get overdueReason(): OverdueReason | undefined {
        const { instance: { fleet }, times } = this.options;
        if (fleet?.roles.hasSubscribers !== true) {
            return "alone";
        }
        if (
            this.stalenessMs <= servedReaderBounds * times.boundMs && fleet.roles.hasServedReader(times.longPollMs + callGraceMs)
        ) {
            return undefined;
        }
        const { reports } = this;
        if (this.isUnavailable && (reports > 0 || this.watcher.failures >= minimumFailures)) {
            return "unavailable";
        }
        if (this.isUnanswered && reports > 1) {
            return "unanswered";
        }
        return fleet.calls.isDistributorCutOff && reports > 1 ? "cut-off" : undefined;
    }

    /** Number of other instances that stated lately that the platform does not respond to them. */
    private get reports(): number {
        const { instance: { fleet }, times } = this.options;
        return fleet?.members.reportsOfOutage(reportBounds * times.boundMs) ?? 0;
    }

    /** Whether requests may be routed by the last known state, however old. */
    get mayBeOverdue(): boolean {
        return this.overdueReason !== undefined;
    }

    /** Whether a second call has to show whether the platform is away for others as well, since requests wait for that. */
    private get needsProof(): boolean {
        return this.watcher.failures < minimumFailures && this.reports === 0 && this.options.hasCallers();
    }

    /** A busy instance cannot tell whether its call was answered. */
    private get isUnanswered(): boolean {
        return this.watcher.progress.unansweredMs > unansweredMs && !this.options.isBehind();
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

    /**
     * Readers use long polls; other instances only fetch the changes they missed. A watch that ends with a change confirms nothing later
     * than its request, so the next one is shorter, and confirms the state for the others in time.
     */
    private get watchMs(): number {
        const { instance: { fleet }, times, watchMs } = this.options;
        if (!this.isReader) {
            return 0;
        }
        if (fleet?.roles.hasSubscribers !== true) {
            return watchMs;
        }
        const dueInMs = times.confirmMs - this.stalenessMs - this.watcher.progress.roundTripMs;
        return Math.min(Math.max(0, dueInMs), times.confirmMs, watchMs);
    }

    private applyPublication(publication: Publication, kind: PublicationKind, asOfMs: number): void {
        const { instance, clock } = this.options;
        instance.applyPublication(publication, kind !== "changes");
        if (kind === "stale-snapshot") {
            this.schedule.recordInitialRead();
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
