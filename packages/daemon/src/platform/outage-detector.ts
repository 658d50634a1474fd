/**
 * Detects that the platform serves nobody.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import { readerArrivalMs } from "../state-gate-times.js";
import { minimumFailures, overdueReasonFor } from "./outage-evidence.js";
import type { OverdueReason } from "./overdue-reason.js";
import type { PlatformWatcher } from "./platform-watcher.js";

/** Options of {@link OutageDetector}. */
export interface OutageDetectorOptions {
    readonly clock: Clock;
    readonly times: FleetTimes;
    readonly watcher: Pick<PlatformWatcher, "progress" | "failures">;
    /** The fleet; `undefined` before this instance has joined. */
    readonly fleet: () => Fleet | undefined;
    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    readonly stalenessMs: () => number;
    /** Whether this instance is about to join a fleet. */
    readonly willJoin: () => boolean;
    /** Whether this instance has served callers. */
    readonly hasCallers: () => boolean;
    /** Whether responses that have arrived may not have been delivered yet, because the event loop is busy. */
    readonly isBehind: () => boolean;
}

/**
 * Time without the first bytes of a response after which the platform is taken to be silent, if others state that it does not respond to
 * them, in milliseconds. Without that, the call has to fail: a response may wait on its way for longer.
 */
const unansweredMs = 300;

/** Time after the end of a long poll in which a call without an answer fails, and other instances know of it, in milliseconds. */
const callGraceMs = 1500;

/** Age up to which another instance's statement that the platform does not respond counts, in staleness bounds. */
const reportBounds = 2;

/** Time without newer state after which readers that may be served do not count any more, in staleness bounds: nothing of them arrives here. */
const servedReaderBounds = 2;

/** Collects what this instance knows about the platform and about the others. */
export class OutageDetector {
    /** @param options - Where to look. */
    constructor(private readonly options: OutageDetectorOptions) {}

    /** Why requests may be routed by the last known state, however old; `undefined` if they may not. */
    get overdueReason(): OverdueReason | undefined {
        const { failedCalls, isUnanswered, reports, mayOthersBeServed } = this;
        return overdueReasonFor({ failedCalls, isUnanswered, reports, mayOthersBeServed });
    }

    /** Own calls that failed since the time as of which the state is confirmed; earlier ones say nothing, since somebody was served later. */
    get failedCalls(): number {
        const { clock, watcher, stalenessMs } = this.options;
        return watcher.failures.countSince(clock.nowMs() - stalenessMs());
    }

    /** Number of other instances that stated lately that the platform does not respond to them. */
    get reports(): number {
        const { fleet, times } = this.options;
        return fleet()?.members.reportsOfOutage(reportBounds * times.boundMs) ?? 0;
    }

    /** Whether a second call has to show whether the platform is away for others as well, since requests wait for that. */
    get needsProof(): boolean {
        return this.failedCalls < minimumFailures && this.reports === 0 && this.options.hasCallers();
    }

    /** A busy instance cannot tell whether its call was answered. */
    private get isUnanswered(): boolean {
        return this.options.watcher.progress.unansweredMs > unansweredMs && !this.options.isBehind();
    }

    /**
     * Whether another instance may have newer state. Before this one has joined, and right after that, it has not heard the others. Later,
     * a reader may be served that has not stated that it is not; or the one that follows this instance as a reader, once it has failed.
     * Without news for long, this instance does not hear them.
     */
    private get mayOthersBeServed(): boolean {
        const { times: { boundMs, longPollMs }, clock, watcher, stalenessMs, willJoin } = this.options;
        const fleet = this.options.fleet();
        if (fleet === undefined) {
            return willJoin();
        }
        const { roles, seeds, joinedAtMs } = fleet;
        const joinedForMs = clock.nowMs() - joinedAtMs;
        const callMs = longPollMs + callGraceMs;
        if (joinedForMs <= callMs && seeds.all.length > 0 || roles.isReader && watcher.failures.failingForMs <= readerArrivalMs) {
            return true;
        }
        return Math.min(stalenessMs(), joinedForMs) <= servedReaderBounds * boundMs
            && roles.mayReaderBeServed(callMs, readerArrivalMs);
    }
}
