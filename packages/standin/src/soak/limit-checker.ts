/**
 * Checks that upstreams which announce a rate limit receive no more requests than it allows, summed over the instances that
 * have received the announcement.
 *
 * @packageDocumentation
 */

import type { UpstreamAnnouncement } from "../upstream-announcement.js";

/** An announced rate limit and the requests that count towards it. */
interface LimitState {
    readonly perSecond: number;
    readonly sinceMs: number;
    /** Time from which the limit applies to each incarnation of an instance. */
    readonly effectiveAtMs: Map<string, number>;
    arrivalsMs: number[];
    isViolated: boolean;
}

/** Length of the sliding window in which requests are counted, in milliseconds. */
const windowMs = 4000;

/** Time after the announcement from which violations are reported, in milliseconds. */
const settleMs = 3000;

/** Time after a request's arrival from which its instance is expected to have received the announcement, in milliseconds. */
const propagationMs = 1500;

/** Largest number of requests allowed within the window; includes a tolerance. */
const maximumRequests = (perSecond: number): number => perSecond * windowMs / 1000 * 1.5 + 5;

/** Counts the requests that arrive at each upstream with an announced rate limit. */
export class LimitChecker {
    private readonly limits = new Map<string, LimitState>();

    /** @param onViolation - Called once for each announced limit that is exceeded. */
    constructor(private readonly onViolation: (detail: string) => void) {}

    /**
     * Records a request.
     *
     * @param upstream - The upstream at which it arrived.
     * @param entry - The instance that sent it, with its incarnation.
     * @param atMs - When it arrived, in milliseconds.
     * @param announcement - What the response announces.
     */
    record(upstream: string, entry: string, atMs: number, { limitPerSecond }: UpstreamAnnouncement): void {
        if (limitPerSecond === undefined) {
            this.limits.delete(upstream);
            return;
        }
        const existing = this.limits.get(upstream);
        const state: LimitState = existing?.perSecond === limitPerSecond
            ? existing
            : { perSecond: limitPerSecond, sinceMs: atMs, effectiveAtMs: new Map(), arrivalsMs: [], isViolated: false };
        this.limits.set(upstream, state);
        const effectiveAtMs = state.effectiveAtMs.get(entry);
        if (effectiveAtMs === undefined) {
            state.effectiveAtMs.set(entry, atMs + propagationMs);
        }
        else if (atMs >= effectiveAtMs) {
            state.arrivalsMs = [...state.arrivalsMs.filter(before => before > atMs - windowMs), atMs];
            this.check(upstream, state, atMs);
        }
    }

    /** Discards the state of an upstream, because responses with its announcement may have been lost. */
    clear(upstream: string): void {
        this.limits.delete(upstream);
    }

    private check(upstream: string, state: LimitState, atMs: number): void {
        const { perSecond, sinceMs, arrivalsMs, isViolated } = state;
        if (!isViolated && atMs >= sinceMs + settleMs && arrivalsMs.length > maximumRequests(perSecond)) {
            state.isViolated = true;
            this.onViolation(
                `${upstream} announced a limit of ${perSecond}/s and received ${arrivalsMs.length} requests in ${windowMs} ms`,
            );
        }
    }
}
