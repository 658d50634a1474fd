/**
 * The rate limits that upstreams announce for all instances together.
 *
 * Only some instances receive responses from an upstream, but all need its limit. Notices have a total order, and the latest
 * one wins at every instance: any sequence of deliveries, with repetitions, ends in the same state.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";
import { IncarnationMap, type UpstreamIncarnation } from "./incarnation-map.js";

/** A notice of an upstream about its rate limit. */
export interface LimitNotice {
    /** Requests per second from all instances together; `undefined` if it no longer announces a limit. */
    readonly perSecond: number | undefined;
    /** When this limit was first announced, in milliseconds since the Unix epoch. */
    readonly sinceUnixMs: number;
    /**
     * Position in the order of notices: wall-clock time of the receiving instance, increased if necessary so that it is later
     * than the notice that was stored before.
     */
    readonly saidAtUnixMs: number;
    /** Id of the instance that received it from the upstream. */
    readonly heardBy: string;
}

/** A notice with the upstream and incarnation that sent it. */
export interface UpstreamLimitNotice {
    readonly upstream: UpstreamId;
    /** When the incarnation began, in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
    readonly notice: LimitNotice;
}

/** A limit as this instance stores it. */
export interface StoredLimit extends LimitNotice {
    /** When it was last received, on this instance's clock. */
    readonly receivedAtMs: number;
}

/** A limit that was added, changed or removed. */
export interface LimitChange extends UpstreamLimitNotice {
    /** The previous limit; `undefined` if there was none. */
    readonly before: number | undefined;
}

/** Options of {@link UpstreamLimits}. */
export interface UpstreamLimitsOptions {
    readonly clock: Clock;
    readonly instance: string;
    /** Called when a limit changes, whichever instance received it. */
    readonly onChange?: (change: LimitChange) => void;
}

interface RecentNotice {
    readonly notice: UpstreamLimitNotice;
    readonly storedAtMs: number;
    /** Whether it changes a limit, instead of only confirming it. */
    readonly isChange: boolean;
}

/** Time for which a notice is sent with every exchange, in milliseconds: longer than gossip takes to reach all members. */
const gossipMs = 10_000;

/** The same for delta exchanges. */
const deltaGossipMs = 3000;

/** Most notices in one exchange, which limits its size; the latest go first. */
const maximumNoticesSent = 64;

/**
 * Time after which a limit that still applies is sent again, in milliseconds, so that other instances know that it is still
 * announced.
 */
const confirmIntervalMs = 8000;

/** Largest relative change of a limit that is not sent at once, but with the next exchange. */
const slightChange = 0.1;

/** Stores the last rate limit that each upstream announced. */
export class UpstreamLimits {
    private readonly limits: IncarnationMap<StoredLimit>;
    private readonly recent = new Map<UpstreamId, RecentNotice>();

    /** @param options - The clock, this instance and the listener. */
    constructor(private readonly options: UpstreamLimitsOptions) {
        // A limit ends with a response without it, never by time: otherwise all instances would start sending at the same
        // moment.
        this.limits = new IncarnationMap({ clock: options.clock, lastsUntilMs: () => Infinity });
    }

    /** Whether no upstream has ever announced a limit. */
    get isEmpty(): boolean {
        return this.limits.isEmpty;
    }

    /** Returns the limit that applies to an incarnation; `undefined` if it announces none. */
    find(incarnation: UpstreamIncarnation): StoredLimit & { readonly perSecond: number; } | undefined {
        const stored = this.limits.find(incarnation);
        return stored?.perSecond === undefined ? undefined : { ...stored, perSecond: stored.perSecond };
    }

    /**
     * Records what a response states of the limit. A response to a request that was sent before the last notice arrived may be
     * outdated, so it can only lower the limit.
     *
     * @param incarnation - The incarnation that responded.
     * @param perSecond - The limit that it announced; `undefined` without one.
     * @param sentAtMs - When the request was sent, on this instance's clock.
     * @returns Whether to send the change to other instances at once.
     */
    record(incarnation: UpstreamIncarnation, perSecond: number | undefined, sentAtMs: number): boolean {
        const { clock, instance } = this.options;
        const stored = this.limits.find(incarnation);
        const previous = stored?.perSecond;
        const saidAtUnixMs = Math.max(Math.floor(clock.wallMs()), (stored?.saidAtUnixMs ?? 0) + 1);
        if (perSecond === previous) {
            return stored !== undefined && previous !== undefined && this.confirm(incarnation, stored, saidAtUnixMs);
        }
        const isLower = perSecond !== undefined && perSecond < (previous ?? Infinity);
        const isStale = stored !== undefined && sentAtMs < stored.receivedAtMs;
        return (isLower || !isStale)
            && this.store(incarnation, { perSecond, sinceUnixMs: saidAtUnixMs, saidAtUnixMs, heardBy: instance });
    }

    /**
     * Merges notices that other instances received; a notice that is not later than the stored one is ignored.
     *
     * @param notices - The notices.
     * @returns Whether to send any of them to other instances at once.
     */
    merge(notices: readonly UpstreamLimitNotice[]): boolean {
        return notices.map(({ upstream, startedAtMs, notice }) => {
            const incarnation = { id: upstream, startedAtMs };
            const stored = this.limits.find(incarnation);
            return (stored === undefined || isLater(notice, stored)) && this.store(incarnation, notice);
        }).includes(true);
    }

    /**
     * Returns the notices to send to peers.
     *
     * @param isDelta - Whether to omit all but the newest changes.
     */
    recentEntries(isDelta: boolean): readonly UpstreamLimitNotice[] {
        const nowMs = this.options.clock.nowMs();
        [...this.recent].filter(([, { storedAtMs }]) => nowMs - storedAtMs >= gossipMs).forEach(([id]) => this.recent.delete(id));
        return [...this.recent.values()]
            .filter(({ storedAtMs, isChange }) => !isDelta || isChange && nowMs - storedAtMs < deltaGossipMs)
            .sort((a, b) => b.storedAtMs - a.storedAtMs)
            .slice(0, maximumNoticesSent)
            .map(({ notice }) => notice);
    }

    /** Records that a limit still applies, and sends that to the other instances at intervals. */
    private confirm(incarnation: UpstreamIncarnation, stored: StoredLimit, saidAtUnixMs: number): boolean {
        const { clock, instance } = this.options;
        if (saidAtUnixMs - stored.saidAtUnixMs >= confirmIntervalMs) {
            return this.store(incarnation, { ...stored, saidAtUnixMs, heardBy: instance });
        }
        this.limits.put(incarnation, stored.saidAtUnixMs, () => ({ ...stored, receivedAtMs: clock.nowMs() }));
        return false;
    }

    private store(incarnation: UpstreamIncarnation, notice: LimitNotice): boolean {
        const { clock, onChange } = this.options;
        const { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } = notice;
        const { id: upstream, startedAtMs = 0 } = incarnation;
        const previous = this.limits.find(incarnation)?.perSecond;
        const storedAtMs = clock.nowMs();
        const upstreamNotice = { upstream, startedAtMs, notice: { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } };
        const isChange = perSecond !== previous;
        this.limits.put(incarnation, saidAtUnixMs, () => ({ ...upstreamNotice.notice, receivedAtMs: storedAtMs }));
        this.recent.set(upstream, { notice: upstreamNotice, storedAtMs, isChange });
        if (isChange) {
            onChange?.({ ...upstreamNotice, before: previous });
        }
        return isChange && !isSlightChange(previous, perSecond);
    }
}

const isLater = (notice: LimitNotice, stored: LimitNotice): boolean =>
    notice.saidAtUnixMs > stored.saidAtUnixMs || notice.saidAtUnixMs === stored.saidAtUnixMs && notice.heardBy > stored.heardBy;

const isSlightChange = (previous: number | undefined, after: number | undefined): boolean =>
    previous !== undefined && after !== undefined && Math.abs(after - previous) <= previous * slightChange;
