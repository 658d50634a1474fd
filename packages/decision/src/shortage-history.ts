/**
 * Priority under shortage: which requests leave headroom to more urgent ones.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";

/** Time for which a shortage counts after a request lacked headroom, in milliseconds. */
const shortageMs = 1000;

/** One in so many requests that are subject to the reserve is exempt from it, so that no priority is starved. */
const exemptInterval = 4;

/**
 * When requests of each priority of one service last lacked headroom: they were held or refused. It has at most two numbers for
 * each priority, and is lost at a restart without harm.
 */
export class ShortageHistory {
    private readonly lackedAtMs = new Map<number, number>();
    /** Requests of each priority that were subject to the reserve. */
    private readonly subjectCounts = new Map<number, number>();

    /** Number of priorities with state. */
    get size(): number {
        return new Set([...this.lackedAtMs.keys(), ...this.subjectCounts.keys()]).size;
    }

    /**
     * Records that a request lacked headroom.
     *
     * @param priority - Its priority; 0 is the most urgent.
     * @param nowMs - The time.
     */
    recordLack(priority: number, nowMs: number): void {
        this.lackedAtMs.set(priority, nowMs);
    }

    /** Milliseconds since a request of a more urgent priority lacked headroom; -1 if none did. */
    moreUrgentAgeMs(priority: number, nowMs: number): number {
        const times = [...this.lackedAtMs].filter(([other]) => other < priority).map(([, atMs]) => atMs);
        return times.length === 0 ? -1 : nowMs - Math.max(...times);
    }

    /**
     * Counts a request that is subject to the reserve, once for each request: if decisions were counted, every request would be
     * exempt at its fourth one.
     *
     * @param priority - Its priority. Each priority is counted on its own, or a regular sequence of kinds could always exempt the
     *   same kind.
     * @returns Whether the request is exempt.
     */
    takeExemption(priority: number): boolean {
        const count = (this.subjectCounts.get(priority) ?? 0) + 1;
        this.subjectCounts.set(priority, count % exemptInterval);
        return count === exemptInterval;
    }
}

/** Input of {@link reserveShareOf}. */
export interface ReserveInput {
    /** Share of the optimal concurrency that is left to more urgent requests, in percent. */
    readonly reservePercent: number;
    /** Milliseconds since a more urgent request lacked headroom; -1 if none did. */
    readonly moreUrgentAgeMs: number;
    /** Whether the request is exempt from the reserve; evaluated only during a shortage. */
    readonly isExempt: () => boolean;
}

/** Returns the share of the optimal concurrency that a request must leave free; 0 without a shortage of more urgent requests. */
export const reserveShareOf = ({ reservePercent, moreUrgentAgeMs, isExempt }: ReserveInput): number => {
    const isShortage = moreUrgentAgeMs >= 0 && moreUrgentAgeMs <= shortageMs;
    return reservePercent > 0 && isShortage && !isExempt() ? reservePercent / 100 : 0;
};

/**
 * Returns upstreams as a request sees them that must leave a share of their optimal concurrency free: with that much less of it.
 * Headroom, expected times and the selection then all respect the reserve, so that the request can still go to an upstream with
 * more headroom than the best one.
 *
 * @param upstreams - The upstreams.
 * @param reserveShare - The share; 0 changes nothing.
 */
export const withReserve = (upstreams: readonly UpstreamFacts[], reserveShare: number): readonly UpstreamFacts[] =>
    reserveShare <= 0
        ? upstreams
        : upstreams.map(upstream => ({ ...upstream, bestInFlight: upstream.bestInFlight * (1 - reserveShare) }));
