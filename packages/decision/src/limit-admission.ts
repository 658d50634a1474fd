/**
 * Which requests of this instance may go to upstreams that name how many they take, so that all instances together stay below that.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, UpstreamId } from "@harrierhitch/core";
import type { UpstreamIncarnation } from "./incarnation-map.js";
import { LimitTurns } from "./permit-schedule.js";
import type { StoredLimit, UpstreamLimits } from "./upstream-limits.js";

/** This instance's part in sending to one upstream. */
export interface LimitShare {
    /** Whether it is one of those that share the upstream's limit. */
    readonly isParticipant: boolean;
    /** How many share it. */
    readonly participants: number;
    /** How many instances there may be. */
    readonly members: number;
}

/** The share of an instance that belongs to no fleet. */
export const fullShare: LimitShare = { isParticipant: true, participants: 1, members: 1 };

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

const secondMs = 1000;

/**
 * Sharers for each request a second, and one besides: each then has one turn in a period of a little more than two seconds, of which no
 * four seconds touch more than three. So the sum in any four seconds stays below one and a half times what the upstream takes, and
 * three, whenever requests come up.
 */
const sharersPerRequest = 2;

/** Fewest sharers: one that is gone must not leave the upstream to nobody. */
const fewestSharers = 2;

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

/** Most upstreams whose turns are kept: as many as limits. */
const maximumTurns = 4096;

/** How many instances should share an upstream. */
const sharersFor = (perSecond: number): number => Math.max(fewestSharers, Math.floor(perSecond * sharersPerRequest) + 1);

/** What one turn depends on. */
interface Shared {
    readonly share: LimitShare;
    readonly wanted: number;
    readonly perSecond: number;
    readonly limit: StoredLimit;
}

/** Admits requests to upstreams that name how many they take. */
export class LimitAdmission {
    private readonly turns = new Map<UpstreamId, LimitTurns>();

    /** @param options - Limits and who shares them. */
    constructor(private readonly options: LimitAdmissionOptions) {}

    /** Whether no upstream has ever named a limit. */
    get hasNoLimits(): boolean {
        return this.options.limits.isEmpty;
    }

    /** How fast this instance may send to a start of an upstream; `undefined` where that names no limit. */
    paceOf(start: UpstreamIncarnation): LimitPace | undefined {
        const limit = this.options.limits.find(start);
        if (limit === undefined) {
            this.turns.delete(start.id);
            return undefined;
        }
        const perSecond = Math.max(limit.perSecond, leastPerSecond);
        const wanted = sharersFor(perSecond);
        const share = this.options.shareOf(start.id, wanted);
        const turns = this.turns.get(start.id) ?? this.open(start.id);
        return { ...share, perSecond: limit.perSecond, ...this.nextTurn(turns, { share, wanted, perSecond, limit }) };
    }

    /** Notes that a request goes to a start; tells whether that is bound by a limit. */
    recordSent(start: UpstreamIncarnation): boolean {
        const isLimited = this.paceOf(start) !== undefined;
        if (isLimited) {
            this.turns.get(start.id)?.noteSent();
        }
        return isLimited;
    }

    private nextTurn(turns: LimitTurns, { share, wanted, perSecond, limit }: Shared): Pick<LimitPace, "gapMs" | "waitMs"> {
        const nowMs = this.options.clock.nowMs();
        if (!share.isParticipant) {
            const gapMs = share.members / (perSecond * carefulShare) * secondMs;
            return { gapMs, waitMs: turns.savedWaitMs(nowMs, gapMs, 1, limit.receivedAtMs + patienceMs) };
        }
        const gapMs = share.participants / perSecond * secondMs;
        return share.participants === wanted
            ? { gapMs, waitMs: turns.periodWaitMs(nowMs, gapMs) }
            : { gapMs, waitMs: turns.savedWaitMs(nowMs, gapMs, Math.max(1, savedMs / gapMs)) };
    }

    private open(id: UpstreamId): LimitTurns {
        const { clock, random } = this.options;
        const turns = new LimitTurns(clock.nowMs(), random.next());
        [...this.turns.keys()].slice(0, Math.max(0, this.turns.size + 1 - maximumTurns)).forEach(old => this.turns.delete(old));
        this.turns.set(id, turns);
        return turns;
    }
}
