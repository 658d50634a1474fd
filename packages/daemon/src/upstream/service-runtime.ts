/**
 * The state of one service on this instance.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";
import {
    bestTime,
    mayBeChosen,
    type RetryBudget,
    roomAtBest,
    roomInMs,
    type ServiceBeliefs,
    UsualPatience,
    UsualTimes,
} from "@harrierhitch/decision";
import type { ServiceFacts, UpstreamFacts } from "@harrierhitch/policy";
import type { HoldQueue } from "../request/hold-queue.js";
import { ReturnTurns } from "./return-turns.js";

/** Beliefs, queue and turn of one service; it outlives configurations. */
export class ServiceRuntime {
    /** How long work usually takes, by kind. */
    readonly usualTimes: UsualTimes;
    /** How long callers usually wait, by kind. */
    readonly usualPatience = new UsualPatience();
    /** When callers come back that are turned away because upstreams name limits. */
    readonly returns: ReturnTurns;
    private turns = 0;

    /**
     * @param name - The service.
     * @param beliefs - What is believed of its upstreams.
     * @param queue - Its requests that are held back.
     * @param retryBudget - Its attempts beyond the first of each request.
     * @param clock - The clock.
     */
    constructor(
        readonly name: ServiceName,
        readonly beliefs: ServiceBeliefs,
        readonly queue: HoldQueue,
        readonly retryBudget: RetryBudget,
        clock: Clock,
    ) {
        this.usualTimes = new UsualTimes(clock);
        this.returns = new ReturnTurns(clock);
    }

    /** Time until an upstream is expected to have room, if nobody else sends anything, in milliseconds. */
    roomInMs(upstreams: readonly UpstreamFacts[], tried: readonly string[]): number {
        return roomInMs(upstreams, tried, this.beliefs.residenceMs);
    }

    /** Running number of the next decision. */
    get turn(): number {
        return this.turns + 1;
    }

    /** Notes that a decision was taken. */
    nextTurn(): void {
        this.turns += 1;
    }

    /**
     * The service as policies see it.
     *
     * @param upstreams - What is believed of the upstreams that a decision looks at.
     * @param tried - Those that the request has tried.
     * @param askable - How many may be asked for their load now.
     */
    facts(upstreams: readonly UpstreamFacts[], tried: readonly string[], askable: number): ServiceFacts {
        return {
            name: this.name,
            inFlight: this.beliefs.inFlight,
            queued: this.queue.length,
            candidates: upstreams.filter(mayBeChosen).length,
            bestTime: bestTime(upstreams, tried),
            ...roomAtBest(upstreams, tried),
            askable,
            returnInMs: this.returnInMs,
            turnedAwayMs: this.returns.turnedAwayMs,
            upstreams: this.beliefs.size,
        };
    }

    /** Milliseconds until there is room for one more caller that is turned away; 0 where no upstream names a limit. */
    private get returnInMs(): number {
        const { limitedPerSecond } = this.beliefs;
        return limitedPerSecond === undefined ? 0 : this.returns.nextInMs(limitedPerSecond);
    }
}
