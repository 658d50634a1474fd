/**
 * Which requests of this instance may go to upstreams that name how many they take, so that all instances together stay below that.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, UpstreamId } from "@harrierhitch/core";
import type { NamedStart } from "./by-start.js";
import type { UpstreamLimits } from "./upstream-limits.js";

/** This instance's part in sending to one upstream. */
export interface LimitShare {
    /** Whether it is one of those that share the upstream's limit. */
    readonly isSharer: boolean;
    /** How many share it. */
    readonly sharers: number;
    /** How many instances there may be. */
    readonly members: number;
}

/** The share of an instance that belongs to no fleet. */
export const wholeShare: LimitShare = { isSharer: true, sharers: 1, members: 1 };

/** How fast this instance may send to an upstream, and when it may next. */
export interface LimitPace extends LimitShare {
    /** What the upstream takes from all instances together, in requests a second. */
    readonly perSecond: number;
    /** Time between two requests of this instance, in milliseconds. */
    readonly gapMs: number;
    /** Milliseconds until this instance may send one more; 0 when it may now. */
    readonly waitMs: number;
}

/** Options of {@link LimitAdmission}. */
export interface LimitAdmissionOptions {
    readonly clock: Clock;
    /** Keeps the first requests of those that share from coming at one moment. */
    readonly random: RandomSource;
    /** What upstreams said last. */
    readonly limits: UpstreamLimits;
    /**
     * This instance's share.
     *
     * @param upstream - The upstream.
     * @param wanted - How many instances should share it.
     */
    readonly shareOf: (upstream: UpstreamId, wanted: number) => LimitShare;
}

interface Bucket {
    /** Requests that may be sent at once, with a fraction that grows towards the next. */
    level: number;
    atMs: number;
}

const secondMs = 1000;

/**
 * Sharers for each request a second, and besides: each then sends one in some two seconds. Even if all send at the same moment what they
 * have saved up, the sum in any four seconds stays below one and a half times what the upstream takes, and a few.
 */
const sharersPerRequest = 2;
const sharersBesides = 2;

/** Time for whose requests an instance saves up while it has none to send, in milliseconds; one request at least. */
const savedMs = 500;

/**
 * Requests a second, from all instances together, by which the end of a limit is found out at an upstream that takes fewer, or
 * none at all.
 */
const leastPerSecond = 0.1;

/** Time without any news of a limit after which an instance that is no sharer tries for itself, in milliseconds. */
const patienceMs = 30_000;

/** Share of a limit that all instances take together which try for themselves. */
const carefulShare = 0.1;

/** Most upstreams whose buckets are kept: as many as limits. */
const maximumBuckets = 4096;

/** Sums of fractions of requests are a little more or less than whole ones. */
const roundingError = 1e-9;

/** How many instances should share an upstream. */
const sharersFor = (perSecond: number): number => Math.floor(perSecond * sharersPerRequest) + sharersBesides;

/** Admits requests to upstreams that name how many they take. */
export class LimitAdmission {
    private readonly buckets = new Map<UpstreamId, Bucket>();

    /** @param options - Limits and who shares them. */
    constructor(private readonly options: LimitAdmissionOptions) {}

    /** Whether no upstream has ever named a limit. */
    get isIdle(): boolean {
        return this.options.limits.isEmpty;
    }

    /** How fast this instance may send to a start of an upstream; `undefined` where that names no limit. */
    paceOf(start: NamedStart): LimitPace | undefined {
        const limit = this.options.limits.find(start);
        if (limit === undefined) {
            this.buckets.delete(start.id);
            return undefined;
        }
        const perSecond = Math.max(limit.perSecond, leastPerSecond);
        const share = this.options.shareOf(start.id, sharersFor(perSecond));
        const { gapMs, fromMs } = share.isSharer
            ? { gapMs: share.sharers / perSecond * secondMs, fromMs: -Infinity }
            : { gapMs: share.members / (perSecond * carefulShare) * secondMs, fromMs: limit.heardAtMs + patienceMs };
        return { ...share, perSecond: limit.perSecond, gapMs, waitMs: this.waitMs(start.id, gapMs, fromMs) };
    }

    /** Notes that a request goes to a start; tells whether that is bound by a limit. */
    noteSent(start: NamedStart): boolean {
        const isLimited = this.paceOf(start) !== undefined;
        const bucket = this.buckets.get(start.id);
        if (isLimited && bucket !== undefined) {
            bucket.level -= 1;
        }
        return isLimited;
    }

    private waitMs(id: UpstreamId, gapMs: number, fromMs: number): number {
        const nowMs = this.options.clock.nowMs();
        const bucket = this.buckets.get(id) ?? this.open(id);
        const grownMs = Math.max(0, nowMs - Math.max(bucket.atMs, fromMs));
        bucket.level = Math.min(Math.max(1, savedMs / gapMs), bucket.level + grownMs / gapMs);
        bucket.atMs = nowMs;
        return bucket.level >= 1 - roundingError ? 0 : (1 - bucket.level) * gapMs + Math.max(0, fromMs - nowMs);
    }

    private open(id: UpstreamId): Bucket {
        const { clock, random } = this.options;
        const bucket: Bucket = { level: random.next(), atMs: clock.nowMs() };
        [...this.buckets.keys()].slice(0, Math.max(0, this.buckets.size + 1 - maximumBuckets)).forEach(old =>
            this.buckets.delete(old)
        );
        this.buckets.set(id, bucket);
        return bucket;
    }
}
