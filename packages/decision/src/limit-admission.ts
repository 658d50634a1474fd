/**
 * Admission of requests to upstreams that announce a rate limit, so that all instances together stay below it.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, UpstreamId } from "@harrierhitch/core";
import type { UpstreamIncarnation } from "./incarnation-map.js";
import { PermitSchedule } from "./permit-schedule.js";
import type { StoredLimit, UpstreamLimits } from "./upstream-limits.js";

/** This instance's part in the rate limit of one upstream. */
export interface LimitShare {
    /** Whether it is one of the participants, which send within the limit. */
    readonly isParticipant: boolean;
    readonly participants: number;
    /** Number of instances in the fleet. */
    readonly members: number;
}

/** The share of an instance that runs alone. */
export const fullShare: LimitShare = { isParticipant: true, participants: 1, members: 1 };

/** How fast this instance may send to an upstream, and when it may send next. */
export interface LimitPace extends LimitShare {
    /** The limit for all instances together, in requests per second. */
    readonly perSecond: number;
    /** Time between two requests of this instance, in milliseconds. */
    readonly gapMs: number;
    /** Milliseconds until this instance may send one more request; 0 if it may now. */
    readonly waitMs: number;
}

/** Options of {@link LimitAdmission}. */
export interface LimitAdmissionOptions {
    readonly clock: Clock;
    /** Provides the phases of the schedules, so that participants do not send at the same moment. */
    readonly random: RandomSource;
    /** The announced rate limits. */
    readonly limits: UpstreamLimits;
    /**
     * Returns this instance's share.
     *
     * @param upstream - The upstream.
     * @param wanted - How many participants the limit should have.
     */
    readonly shareOf: (upstream: UpstreamId, wanted: number) => LimitShare;
}

const secondMs = 1000;

/**
 * Participants per request per second; one more is added. Each participant then has one permit per period of a little more than
 * two seconds, which bounds the number of requests in any short time.
 */
const participantsPerRequest = 2;

/** Fewest participants, so that the upstream still has one when another leaves the fleet. */
const minimumParticipants = 2;

/** Time for which an instance accumulates permits while it has nothing to send, in milliseconds; at least one permit. */
const burstMs = 500;

/**
 * Lowest rate from all instances together, in requests per second: without any requests, no response would show that a limit
 * has ended.
 */
const minimumPerSecond = 0.1;

/** Time without a notice of a limit after which non-participants send probing requests, in milliseconds. */
const orphanTimeoutMs = 30_000;

/** Share of a limit that all non-participants use together for probing requests. */
const orphanShare = 0.1;

/** Most upstreams whose schedules are stored. */
const maximumSchedules = 4096;

/** Returns how many participants a limit should have. */
const participantsFor = (perSecond: number): number =>
    Math.max(minimumParticipants, Math.floor(perSecond * participantsPerRequest) + 1);

interface PermitInput {
    readonly share: LimitShare;
    readonly wanted: number;
    readonly perSecond: number;
    readonly limit: StoredLimit;
}

/** Admits requests to upstreams that announce a rate limit. */
export class LimitAdmission {
    private readonly schedules = new Map<UpstreamId, PermitSchedule>();

    /** @param options - The limits and this instance's share of them. */
    constructor(private readonly options: LimitAdmissionOptions) {}

    /** Whether no upstream has ever announced a limit. */
    get hasNoLimits(): boolean {
        return this.options.limits.isEmpty;
    }

    /** Returns the pace for an incarnation of an upstream; `undefined` if it announced no limit. */
    paceOf(incarnation: UpstreamIncarnation): LimitPace | undefined {
        const limit = this.options.limits.find(incarnation);
        if (limit === undefined) {
            this.schedules.delete(incarnation.id);
            return undefined;
        }
        const perSecond = Math.max(limit.perSecond, minimumPerSecond);
        const wanted = participantsFor(perSecond);
        const share = this.options.shareOf(incarnation.id, wanted);
        const schedule = this.schedules.get(incarnation.id) ?? this.createSchedule(incarnation.id);
        return { ...share, perSecond: limit.perSecond, ...this.nextPermit(schedule, { share, wanted, perSecond, limit }) };
    }

    /** Records that a request is sent to an incarnation; returns whether a limit applies to it. */
    recordSent(incarnation: UpstreamIncarnation): boolean {
        const isLimited = this.paceOf(incarnation) !== undefined;
        if (isLimited) {
            this.schedules.get(incarnation.id)?.recordSent();
        }
        return isLimited;
    }

    private nextPermit(
        schedule: PermitSchedule,
        { share, wanted, perSecond, limit }: PermitInput,
    ): Pick<LimitPace, "gapMs" | "waitMs"> {
        const nowMs = this.options.clock.nowMs();
        if (!share.isParticipant) {
            const gapMs = share.members / (perSecond * orphanShare) * secondMs;
            return { gapMs, waitMs: schedule.bucketWaitMs(nowMs, gapMs, 1, limit.receivedAtMs + orphanTimeoutMs) };
        }
        const gapMs = share.participants / perSecond * secondMs;
        return share.participants === wanted
            ? { gapMs, waitMs: schedule.periodWaitMs(nowMs, gapMs) }
            : { gapMs, waitMs: schedule.bucketWaitMs(nowMs, gapMs, Math.max(1, burstMs / gapMs)) };
    }

    private createSchedule(id: UpstreamId): PermitSchedule {
        const { clock, random } = this.options;
        const schedule = new PermitSchedule(clock.nowMs(), random.next());
        [...this.schedules.keys()].slice(0, Math.max(0, this.schedules.size + 1 - maximumSchedules)).forEach(old =>
            this.schedules.delete(old)
        );
        this.schedules.set(id, schedule);
        return schedule;
    }
}
