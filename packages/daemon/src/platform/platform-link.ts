/**
 * Passes the platform's publications to the instance, and its availability to the fleet.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { FleetTimes } from "@harrierhitch/published";
import type { Instance } from "../instance.js";
import { maximumWaitMs } from "../state-gate-times.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import { CallSchedule, nonReaderRetryMs } from "./call-schedule.js";
import { OutageDetector } from "./outage-detector.js";
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
    /** Called when the platform does not serve this instance and it has not joined: the others may have newer state. */
    readonly hastenJoin: () => void;
    /** Checks for a stall and, if there was one, calls {@link PlatformLink.recordStall}. */
    readonly checkForStall: () => void;
    /** Whether responses that have arrived may not have been delivered yet, because the event loop is busy. */
    readonly isBehind: () => boolean;
    /** Whether this instance has served callers; without callers it need not be up to date. */
    readonly hasCallers: () => boolean;
}

/**
 * Time after the platform's recovery in which entries that expired during the outage may still be missing although
 * their upstreams are running, in milliseconds.
 */
const expiryGraceMs = 1300;

/** Watches the platform on behalf of an instance. */
export class PlatformLink {
    private readonly watcher: PlatformWatcher;
    private readonly schedule: CallSchedule;
    private readonly outage: OutageDetector;
    private recoveredAtMs = -Infinity;
    /** Time up to which the platform has confirmed that no change is missing. */
    private confirmedAtMs = -Infinity;
    private isUnavailable = false;
    /** When a request last began to wait for newer state. */
    private awaitedAtMs = -Infinity;

    /** @param options - The platform and the instance. */
    constructor(private readonly options: PlatformLinkOptions) {
        const { platform, clock, random, instance, retryMs, times } = options;
        this.schedule = new CallSchedule({
            ...{ clock, random, times, instance },
            hasCallers: () => this.hasCallers,
            isReader: () => this.isReader,
            stalenessMs: () => this.stalenessMs,
            isAwaited: () => clock.nowMs() - this.awaitedAtMs < maximumWaitMs,
            hasFailed: () => this.outage.failedCalls > 0,
        });
        this.watcher = new PlatformWatcher({
            platform,
            clock,
            random,
            retryMs: () => this.isReader || this.outage.needsProof ? retryMs : nonReaderRetryMs,
            batchMs: times.batchMs,
            dueInMs: () => this.schedule.dueInMs(),
            longPollMs: () => this.watchMs,
            appliedRevision: () => instance.directory.revision,
            onPublication: (publication, kind, asOfMs) => this.applyPublication(publication, kind, asOfMs),
            checkForStall: options.checkForStall,
            mayRepeat: () => !options.isBehind() && this.outage.reports === 0,
            onCallEnd: () => instance.fleet?.directReads.end(),
            onUnavailable: error => this.onUnavailable(error),
            onUnusableChanges: (error, revision) => this.onUnusableChanges(error, revision),
            onRecovered: () => this.onRecovered(),
        });
        this.outage = new OutageDetector({
            ...{ clock, times, watcher: this.watcher, fleet: () => instance.fleet },
            stalenessMs: () => this.stalenessMs,
            willJoin: options.willJoin,
            hasCallers: () => this.hasCallers,
            isBehind: options.isBehind,
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

    /** Whether the last call to the platform did not fail. */
    get isPlatformReachable(): boolean {
        return !this.isUnavailable;
    }

    /** Whether this instance needs published changes and its last call to the platform did not fail. */
    get mayRead(): boolean {
        return !this.isUnavailable && this.hasCallers;
    }

    /**
     * Why requests may be routed by the last known state, however old: the platform responds to no one, as far as can be known here.
     * `undefined` if they may not.
     */
    get overdueReason(): OverdueReason | undefined {
        return this.outage.overdueReason;
    }

    /** Whether requests may be routed by the last known state, however old. */
    get mayBeOverdue(): boolean {
        return this.overdueReason !== undefined;
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

    /** Calls the platform at once, if that may help, since a request waits for newer state. */
    requestRead(): void {
        this.awaitedAtMs = this.options.clock.nowMs();
        this.watcher.refresh();
    }

    /** Records that the process was stalled until now, so that a response received before the stall does not count as new. */
    recordStall(): void {
        this.watcher.recordStall();
    }

    /** Whether this instance serves callers, its own or those of other instances. */
    private get hasCallers(): boolean {
        return this.options.hasCallers() || Number.isFinite(this.awaitedAtMs);
    }

    private get isReader(): boolean {
        const { fleet } = this.options.instance;
        return fleet === undefined ? !this.options.willJoin() : fleet.roles.isReader;
    }

    /**
     * Readers use long polls; other instances only fetch the changes they missed. A watch that ends with a change confirms nothing later
     * than its request, so the next one is shorter, and confirms the state in time for the others and for requests.
     */
    private get watchMs(): number {
        const { instance: { fleet }, times, watchMs } = this.options;
        if (!this.isReader) {
            return 0;
        }
        if (fleet?.roles.hasSubscribers !== true && !this.hasCallers) {
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
        if (fleet === undefined) {
            this.options.hastenJoin();
        }
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
