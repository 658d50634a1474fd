/**
 * Noticing requests that end the upstreams that run them, and withholding those that do.
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
    /** Tells other instances that there is something new. */
    readonly onChange: () => void;
    /** Whether this instance alone is to try what is withheld. */
    readonly isTrialOwner: (pattern: RequestSignature) => boolean;
}

/** A run whose upstream has ended, as this instance saw it. */
export interface ObservedCrash {
    readonly request: RequestId;
    /** Number of the attempt, from 1. */
    readonly attempt: number;
    readonly key: RequestKey;
    readonly upstream: UpstreamId;
    readonly ranMs: number;
}

/** A run that this instance gave up, at an upstream that may be working on it still. */
interface AbandonedRun extends ObservedCrash {
    readonly atMs: number;
    readonly atUnixMs: number;
}

/**
 * Time for which a run that was given up is remembered, in milliseconds: upstreams that have just started are slow, and
 * some work on after their caller has left; one ended two seconds after its request had been given up.
 */
const abandonedMs = 5000;

/** Most of them: a second of an instance's requests at its busiest. */
const maximumAbandoned = 256;

/**
 * What this instance knows of requests under which upstreams end. Without it each instance would send such a request on at
 * every repeat.
 */
export class CrashDetector {
    /** What the fleet remembers; kept up to date by what others tell, too. */
    readonly history: CrashHistory;
    private readonly trials: QuarantineTrials;
    private abandoned: readonly AbandonedRun[] = [];

    /** @param options - Clock, log and listener. */
    constructor(private readonly options: CrashDetectorOptions) {
        const { clock, log } = options;
        this.history = new CrashHistory({
            clock,
            onQuarantined: (pattern, runs) => this.tellWithheld(pattern, runs),
            onReleased: pattern => this.release(pattern),
        });
        this.trials = new QuarantineTrials({
            mayTry: pattern => this.history.isTrialDue(pattern) && options.isTrialOwner(pattern),
            onTrial: (request, patterns) => log.write(events.withheldTried, { request, patterns }),
        });
    }

    /**
     * Decides whether a request is not to be sent. One that is withheld is let through where a trial is due, and is remembered as the
     * one that tries.
     *
     * @param request - The request.
     * @param key - What it asks for; called only where something is remembered.
     */
    shouldQuarantine(request: RequestId, key: () => RequestKey): boolean {
        const patterns = this.history.size > 0 ? this.history.matchingQuarantines(key()) : [];
        return patterns.length > 0 && !this.trials.admits(request, patterns);
    }

    /** Whether a request is the one that tries what is withheld. */
    isTrial(request: RequestId): boolean {
        return this.trials.includes(request);
    }

    /**
     * Notes that a request has got its answer.
     *
     * @param request - The request.
     * @param mayHaveRun - Whether an upstream may have run it; otherwise another one may try in its place.
     */
    recordCompleted(request: RequestId, mayHaveRun: boolean): void {
        this.trials.noteSettled(request, mayHaveRun);
    }

    /**
     * Whether a second attempt may run beside the first: two upstreams would end where one shows as much.
     *
     * @param request - The request.
     * @param key - What it asks for.
     */
    allowsHedge(request: RequestId, key: () => RequestKey): boolean {
        return !this.trials.includes(request) && !(this.history.size > 0 && this.history.isSuspect(key()));
    }

    /** Notes a run that is given up before anything is known of its end. */
    recordAbandoned(run: ObservedCrash): void {
        const { clock } = this.options;
        const atMs = clock.nowMs();
        const kept = this.abandoned.filter(other => atMs - other.atMs < abandonedMs).slice(1 - maximumAbandoned);
        this.abandoned = [...kept, { ...run, atMs, atUnixMs: Math.floor(clock.wallMs()) }];
    }

    /** Notes that nobody listens at an upstream any more: what was given up there lately may be the cause. */
    recordPortClosed(upstream: UpstreamId): void {
        const nowMs = this.options.clock.nowMs();
        const there = this.abandoned.filter(run => run.upstream === upstream);
        if (there.length > 0) {
            this.abandoned = this.abandoned.filter(run => run.upstream !== upstream);
            there.filter(run => nowMs - run.atMs < abandonedMs).forEach(run =>
                this.note(run, { endedAtMs: run.atMs, endedAtUnixMs: run.atUnixMs })
            );
        }
    }

    /** Notes a run whose upstream has ended. */
    recordCrash(run: ObservedCrash): void {
        const { clock } = this.options;
        this.note(run, { endedAtMs: clock.nowMs(), endedAtUnixMs: Math.floor(clock.wallMs()) });
        this.recordPortClosed(run.upstream);
    }

    private note(
        { request, attempt, key, upstream, ranMs }: ObservedCrash,
        ended: Pick<CrashRecord, "endedAtMs" | "endedAtUnixMs">,
    ): void {
        const { log, onChange: onNews } = this.options;
        const id = `${request}.${attempt}`;
        log.write(events.endedUnder, { request, key, upstream, ranMs: Math.round(ranMs) });
        if (this.history.merge([{ id, key, upstream, ...ended, ranMs, hasSucceeded: false, succeededMasks: 0 }])) {
            onNews();
        }
    }

    /** Notes that an upstream has answered a request whole. */
    recordSuccess(key: RequestKey): void {
        if (this.history.recordSuccess(key)) {
            this.options.onChange();
        }
    }

    private release(pattern: RequestSignature): void {
        this.trials.forget(pattern);
        this.options.log.write(events.withheldReleased, { pattern });
    }

    private tellWithheld(pattern: RequestSignature, runs: readonly CrashRecord[]): void {
        const { clock, log, metrics } = this.options;
        const nowMs = clock.nowMs();
        metrics.requestsQuarantined.inc();
        log.write(events.requestWithheld, {
            pattern,
            runs: runs.map(({ id, key, upstream, endedAtMs, ranMs }) => ({
                id,
                key,
                upstream,
                ageMs: Math.round(nowMs - endedAtMs),
                ranMs: Math.round(ranMs),
            })),
        });
    }
}
