/**
 * Detects requests that crash the upstreams that process them, and quarantines them.
 *
 * @packageDocumentation
 */

import type { Clock, RequestId, RequestKey, UpstreamId } from "@harrierhitch/core";
import { CrashHistory, type CrashRecord, type RequestSignature } from "@harrierhitch/decision";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { Metrics } from "../telemetry/metrics.js";
import { QuarantineTrials } from "./quarantine-trials.js";

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called when there are new crash records to gossip. */
    readonly onChange: () => void;
    /** Whether this instance is the one that sends the trial request for a signature. */
    readonly isTrialOwner: (signature: RequestSignature) => boolean;
}

/** An attempt whose upstream crashed, as observed by this instance. */
export interface ObservedCrash {
    readonly request: RequestId;
    /** Counts from 1. */
    readonly attempt: number;
    readonly key: RequestKey;
    readonly upstream: UpstreamId;
    readonly ranMs: number;
}

/** An attempt that this instance abandoned while the upstream may still be processing it. */
interface AbandonedAttempt extends ObservedCrash {
    readonly atMs: number;
    readonly atUnixMs: number;
}

/** Time for which an abandoned attempt is stored, in milliseconds, since its upstream may still process it. */
const abandonedRetentionMs = 5000;

/** Maximum number of stored abandoned attempts. */
const maximumAbandoned = 256;

/** Records crashes of upstreams, and decides which requests are quarantined because they are likely to cause more. */
export class CrashDetector {
    /** Crash records of the fleet; those of other instances are merged by gossip. */
    readonly history: CrashHistory;
    private readonly trials: QuarantineTrials;
    private abandoned: readonly AbandonedAttempt[] = [];

    /** @param options - Clock, log, metrics and callbacks. */
    constructor(private readonly options: CrashDetectorOptions) {
        const { clock, log } = options;
        this.history = new CrashHistory({
            clock,
            onQuarantined: (signature, crashes) => this.reportQuarantine(signature, crashes),
            onReleased: signature => this.handleRelease(signature),
        });
        this.trials = new QuarantineTrials({
            isTrialDue: signature => this.history.isTrialDue(signature) && options.isTrialOwner(signature),
            onTrial: (request, signatures) => log.write(events.quarantineTrialSent, { request, patterns: signatures }),
        });
    }

    /**
     * Decides whether a request must not be sent. If a trial is due, a quarantined request is let through and becomes the trial.
     *
     * @param request - The request.
     * @param key - Returns the request's key; called only if there are crash records.
     */
    shouldQuarantine(request: RequestId, key: () => RequestKey): boolean {
        const signatures = this.history.size > 0 ? this.history.matchingQuarantines(key()) : [];
        return signatures.length > 0 && !this.trials.tryAdmit(request, signatures);
    }

    /** Whether a request is a running trial of a quarantined signature. */
    isTrial(request: RequestId): boolean {
        return this.trials.includes(request);
    }

    /**
     * Records that a request has been completed.
     *
     * @param request - The request.
     * @param mayHaveRun - Whether an upstream may have run it; otherwise another request may become the trial.
     */
    recordCompleted(request: RequestId, mayHaveRun: boolean): void {
        this.trials.recordCompleted(request, mayHaveRun);
    }

    /**
     * Whether a request may be hedged. Trials and suspects may not, since they could crash two upstreams at once.
     *
     * @param request - The request.
     * @param key - Returns the request's key; called only if there are crash records.
     */
    allowsHedge(request: RequestId, key: () => RequestKey): boolean {
        return !this.trials.includes(request) && !(this.history.size > 0 && this.history.isSuspect(key()));
    }

    /** Records an attempt that was abandoned without a response. */
    recordAbandoned(attempt: ObservedCrash): void {
        const { clock } = this.options;
        const atMs = clock.nowMs();
        const recent = this.abandoned.filter(other => atMs - other.atMs < abandonedRetentionMs).slice(1 - maximumAbandoned);
        this.abandoned = [...recent, { ...attempt, atMs, atUnixMs: Math.floor(clock.wallMs()) }];
    }

    /** Records that an upstream's port is closed: attempts abandoned there recently may have crashed it. */
    recordPortClosed(upstream: UpstreamId): void {
        const nowMs = this.options.clock.nowMs();
        const candidates = this.abandoned.filter(attempt => attempt.upstream === upstream);
        if (candidates.length > 0) {
            this.abandoned = this.abandoned.filter(attempt => attempt.upstream !== upstream);
            candidates.filter(attempt => nowMs - attempt.atMs < abandonedRetentionMs).forEach(attempt =>
                this.report(attempt, { endedAtMs: attempt.atMs, endedAtUnixMs: attempt.atUnixMs })
            );
        }
    }

    /** Records an attempt whose upstream crashed. */
    recordCrash(crash: ObservedCrash): void {
        const { clock } = this.options;
        this.report(crash, { endedAtMs: clock.nowMs(), endedAtUnixMs: Math.floor(clock.wallMs()) });
        this.recordPortClosed(crash.upstream);
    }

    /** Logs a crash and adds its record to the history. */
    private report(
        { request, attempt, key, upstream, ranMs }: ObservedCrash,
        endTimes: Pick<CrashRecord, "endedAtMs" | "endedAtUnixMs">,
    ): void {
        const { log, onChange } = this.options;
        const id = `${request}.${attempt}`;
        log.write(events.upstreamCrashed, { request, key, upstream, ranMs: Math.round(ranMs) });
        if (this.history.merge([{ id, key, upstream, ...endTimes, ranMs, hasSucceeded: false, succeededMasks: 0 }])) {
            onChange();
        }
    }

    /** Records that an upstream responded to a request completely. */
    recordSuccess(key: RequestKey): void {
        if (this.history.recordSuccess(key)) {
            this.options.onChange();
        }
    }

    private handleRelease(signature: RequestSignature): void {
        this.trials.remove(signature);
        this.options.log.write(events.quarantineReleased, { pattern: signature });
    }

    private reportQuarantine(signature: RequestSignature, crashes: readonly CrashRecord[]): void {
        const { clock, log, metrics } = this.options;
        const nowMs = clock.nowMs();
        metrics.requestsQuarantined.inc();
        log.write(events.requestQuarantined, {
            pattern: signature,
            runs: crashes.map(({ id, key, upstream, endedAtMs, ranMs }) => ({
                id,
                key,
                upstream,
                ageMs: Math.round(nowMs - endedAtMs),
                ranMs: Math.round(ranMs),
            })),
        });
    }
}
