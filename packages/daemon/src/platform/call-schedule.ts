/**
 * When an instance calls the platform.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import type { Instance } from "../instance.js";
import { sendReserveMs } from "../state-gate-times.js";

/** Options of {@link CallSchedule}. */
export interface CallScheduleOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly times: FleetTimes;
    readonly instance: Pick<Instance, "fleet" | "directory">;
    /** Whether this instance reads on behalf of others, or is alone. */
    readonly isReader: () => boolean;
    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    readonly stalenessMs: () => number;
    /** Whether this instance has served callers; without callers it need not be up to date. */
    readonly hasCallers: () => boolean;
    /** Whether requests wait for newer state. */
    readonly isAwaited: () => boolean;
    /** Whether an own call has failed since the time as of which the state is confirmed. */
    readonly hasFailed: () => boolean;
}

/** Time after joining the fleet in which other instances may send what this one lacks, in milliseconds. */
const joinGraceMs = 600;

/** Minimum delay before an instance that is not a reader retries while the platform is unavailable, in milliseconds. */
export const nonReaderRetryMs = 2000;

/**
 * Time after the first read, whose response may be stale, in which an instance waits for updates from the fleet before
 * it reads again if no request waits, in milliseconds.
 */
const secondReadDelayMs = 1500;

/** The same for an instance that has not joined the fleet yet and receives no updates from it. */
const unjoinedSecondReadDelayMs = 700;

/** Combined rate of retries by all instances that are not readers while the platform is unavailable. */
const fleetRetriesPerSecond = 5;

/** Smallest share of the bound at which an instance reads the platform itself, however slow messages are. */
const minimumStaleShare = 0.5;

/** Decides when an instance calls the platform: readers always, others when they are about to become stale. */
export class CallSchedule {
    private initialReadAtMs = -Infinity;
    /** Time of this instance's next direct call to the platform while its distributors are cut off from it. */
    private directCallAtMs: number | undefined;

    /** @param options - The state of the instance. */
    constructor(private readonly options: CallScheduleOptions) {}

    /** Records the first read, whose response may be stale. */
    recordInitialRead(): void {
        this.initialReadAtMs = this.options.clock.nowMs();
    }

    /** Returns the time until the next call, in milliseconds. */
    dueInMs(): number {
        const { instance, clock, isReader, isAwaited } = this.options;
        const isDirectReadDue = (instance.fleet?.directReads.pendingGeneration ?? 0) > 0;
        if (isReader() || isDirectReadDue || instance.directory.revision === 0) {
            return 0;
        }
        const secondReadInMs = this.initialReadAtMs
            + (instance.fleet === undefined ? unjoinedSecondReadDelayMs : secondReadDelayMs)
            - clock.nowMs();
        return Math.max(
            0,
            isAwaited() ? 0 : secondReadInMs,
            instance.fleet === undefined ? this.dueBeforeJoinInMs() : this.dueInFleetInMs(instance.fleet),
        );
    }

    /** Before joining, an instance reads again only if it has callers and its state is stale, as it is after a first read that may be. */
    private dueBeforeJoinInMs(): number {
        const { times, stalenessMs, hasCallers } = this.options;
        return hasCallers() ? times.staleAfterMs - stalenessMs() : Infinity;
    }

    /**
     * A fleet member calls the platform when its distributors no longer send updates; relays do so a little earlier, so that
     * one call serves the availability zone. While distributors are cut off from the platform and its own call has failed, it rarely calls.
     */
    private dueInFleetInMs(fleet: Fleet): number {
        const { times, clock, random, stalenessMs, hasCallers, hasFailed } = this.options;
        const nowMs = clock.nowMs();
        const isRelay = fleet.roles.isRelay;
        if (!isRelay && !hasCallers()) {
            return Infinity;
        }
        const staleInMs = this.staleAfterMs(fleet) - (isRelay ? times.relayLeadMs : 0) - stalenessMs();
        if (!fleet.calls.isDistributorCutOff || !hasFailed()) {
            this.directCallAtMs = undefined;
            const overdueInMs = times.boundMs - sendReserveMs - fleet.calls.roundTripMs - stalenessMs();
            return Math.max(staleInMs, Math.min(fleet.joinedAtMs + joinGraceMs - nowMs, overdueInMs));
        }
        // The delay is random over the full interval, so that some instance soon detects a platform that fails only for readers
        // and relays.
        this.directCallAtMs ??= nowMs + this.maximumDirectDelayMs * random.next();
        const dueInMs = Math.max(staleInMs, this.directCallAtMs - nowMs);
        // If this attempt fails, the next delay is drawn anew.
        this.directCallAtMs = dueInMs <= 0 ? undefined : this.directCallAtMs;
        return dueInMs;
    }

    /** Staleness at which a read has to begin so that it ends within the bound; less than usual while messages are slow. */
    private staleAfterMs({ calls: { roundTripMs } }: Fleet): number {
        const { boundMs, staleAfterMs } = this.options.times;
        return Math.max(boundMs * minimumStaleShare, Math.min(staleAfterMs, boundMs - sendReserveMs - roundTripMs));
    }

    /** Upper bound of the random delay before a direct call while the distributors are cut off, in milliseconds. */
    private get maximumDirectDelayMs(): number {
        const alive = this.options.instance.fleet?.members.alive.length ?? 1;
        return Math.max(nonReaderRetryMs, alive * 1000 / fleetRetriesPerSecond);
    }
}
