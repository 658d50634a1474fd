/**
 * A modelled upstream with slots, a queue and service times that vary.
 */

import type { Clock, RandomSource, Timer } from "@harrierhitch/core";
import { LimitChecker } from "./limit-checker.js";

/** Capacity and behaviour of a modelled upstream. */
export interface ModelUpstreamOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly slots: number;
    /** Capacity of its queue; it sheds requests beyond that. */
    readonly queue: number;
    /** Mean service time at low utilization, in milliseconds. */
    readonly workMs: number;
    /** Whether service times do not vary at random around the mean. */
    readonly isSteady?: boolean;
    /** Utilization of the slots above which service times grow by `kneeFactor`. */
    readonly knee?: number;
    readonly kneeFactor?: number;
    /** Share of the intervals of `redrawIntervalMs` in which service times grow by `slowFactor`. */
    readonly slowShare?: number;
    readonly slowFactor?: number;
    readonly redrawIntervalMs?: number;
    /** Size of the responses to requests, in bytes; default 0. */
    readonly responseBytes?: number;
    /** Whether it reports its load; default `true`. */
    readonly reportsLoad?: boolean;
}

/** A period in which an upstream rejects all requests. */
export interface RejectionPeriod {
    readonly untilMs: number;
    /** Backoff that it requests of each instance that it rejects, in milliseconds. */
    readonly backoffMs: number;
}

/** Time after a response within which requests that were already in transit may arrive, in milliseconds. */
const inTransitMs = 3;

/** One request at a modelled upstream. */
interface Job {
    readonly onComplete: () => void;
}

/** Serves as many requests at once as it has slots, queues some more and sheds the others. */
export class ModelUpstream {
    arrivals = 0;
    probes = 0;
    sheds = 0;
    maximumInFlight = 0;
    /** Requests and probes received from instances during the backoff that it requested of them. */
    backoffViolations = 0;
    /** Requests received from instances that it had notified of draining. */
    requestsWhileDraining = 0;
    /** Requests that have arrived. */
    requests = 0;
    /** Whether it announces that it drains. */
    isDraining = false;
    private readonly drainNotifiedAtMs = new Map<string, number>();
    /** Set while it rejects all requests. */
    rejection: RejectionPeriod | undefined;
    /** Set while it sheds a share of the requests although it has free slots. */
    faultySheds: { readonly share: number; readonly untilMs: number; } | undefined;
    /** Checks the requests received against the announced limits. */
    readonly limits = new LimitChecker();
    /** Value of its rate limit header; `undefined` while it announces no limit. */
    limitHeader: string | undefined;
    /** The backoffs that it requested, by instance. */
    private readonly backoffs = new Map<string, { readonly sentAtMs: number; readonly untilMs: number; }>();
    private readonly running = new Map<Job, Timer>();
    private readonly queued: Job[] = [];
    private currentSlowdown = 1;
    private lastDrawAtMs = -Infinity;

    constructor(private readonly options: ModelUpstreamOptions) {}

    get responseBytes(): number {
        return this.options.responseBytes ?? 0;
    }

    /** Its load report; `undefined` if it reports none. */
    get load(): string | undefined {
        if (this.options.reportsLoad === false) {
            return undefined;
        }
        return [this.running.size, this.queued.length, this.options.slots, this.slowdown].join(",");
    }

    /** Announces a rate limit from now on, in requests per second; `undefined` removes it. */
    announceLimit(perSecond: number | undefined): void {
        this.limitHeader = perSecond === undefined ? undefined : String(perSecond);
        this.limits.recordAnnouncement(perSecond, this.options.clock.nowMs());
    }

    /** Returns the backoff in milliseconds for an instance whose request is rejected; `undefined` while requests are accepted. */
    requestBackoff(instance: string): number | undefined {
        const nowMs = this.options.clock.nowMs();
        if (this.rejection === undefined || nowMs >= this.rejection.untilMs) {
            return undefined;
        }
        const { backoffMs } = this.rejection;
        this.backoffs.set(instance, { sentAtMs: nowMs, untilMs: nowMs + backoffMs });
        return backoffMs;
    }

    /** Records that a request or a probe of an instance has arrived. */
    recordArrival(instance: string): void {
        const nowMs = this.options.clock.nowMs();
        const backoff = this.backoffs.get(instance);
        if (backoff !== undefined && nowMs > backoff.sentAtMs + inTransitMs && nowMs < backoff.untilMs) {
            this.backoffViolations += 1;
        }
    }

    /** Records that a response has reached an instance. */
    recordNotified(instance: string): void {
        this.limits.recordNotified(instance, this.options.clock.nowMs());
        if (this.isDraining && !this.drainNotifiedAtMs.has(instance)) {
            this.drainNotifiedAtMs.set(instance, this.options.clock.nowMs());
        }
    }

    /** Records that a request of an instance has arrived. */
    recordRequest(instance: string): void {
        this.requests += 1;
        const nowMs = this.options.clock.nowMs();
        this.limits.recordArrival(instance, nowMs);
        if (nowMs > (this.drainNotifiedAtMs.get(instance) ?? Infinity) + inTransitMs) {
            this.requestsWhileDraining += 1;
        }
    }

    /**
     * Runs or queues a request.
     *
     * @param onComplete - Called when it is complete.
     * @returns A function that abandons it; `undefined` if it was shed.
     */
    accept(onComplete: () => void): (() => void) | undefined {
        this.arrivals += 1;
        const job: Job = { onComplete };
        const { clock, random, slots } = this.options;
        const { share, untilMs } = this.faultySheds ?? { share: 0, untilMs: 0 };
        if (clock.nowMs() < untilMs && this.running.size < slots && random.next() < share) {
            this.sheds += 1;
            return undefined;
        }
        if (this.running.size < this.options.slots) {
            this.run(job);
        }
        else if (this.queued.length < this.options.queue) {
            this.queued.push(job);
        }
        else {
            this.sheds += 1;
            return undefined;
        }
        this.maximumInFlight = Math.max(this.maximumInFlight, this.running.size + this.queued.length);
        return () => this.remove(job);
    }

    private get slowdown(): number {
        const { clock, random, slowShare = 0, slowFactor = 1, redrawIntervalMs = 150 } = this.options;
        if (clock.nowMs() - this.lastDrawAtMs >= redrawIntervalMs) {
            this.lastDrawAtMs = clock.nowMs() - clock.nowMs() % redrawIntervalMs;
            this.currentSlowdown = random.next() < slowShare ? slowFactor : 1;
        }
        return this.currentSlowdown;
    }

    private run(job: Job): void {
        const { clock, random, slots, workMs, knee = 1, kneeFactor = 1, isSteady = false } = this.options;
        const contention = (this.running.size + 1) / slots > knee ? kneeFactor : 1;
        const jitter = isSteady ? 1 : 0.6 + 0.8 * random.next();
        const timer = clock.after(workMs * jitter * contention * this.slowdown, () => {
            this.remove(job);
            job.onComplete();
        });
        this.running.set(job, timer);
    }

    private remove(job: Job): void {
        this.running.get(job)?.cancel();
        const wasRunning = this.running.delete(job);
        const next = wasRunning ? this.queued.shift() : undefined;
        if (next !== undefined) {
            this.run(next);
        }
        const index = this.queued.indexOf(job);
        if (index >= 0) {
            this.queued.splice(index, 1);
        }
    }
}
