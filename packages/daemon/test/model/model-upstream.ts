/**
 * A modelled upstream on a clock of its own.
 */

import type { Clock, RandomSource, Timer } from "@harrierhitch/core";
import { LimitJudge } from "./limit-judge.js";

/** How a modelled upstream behaves. */
export interface ModelUpstreamOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly slots: number;
    /** Requests that wait in its own queue before it sheds. */
    readonly queue: number;
    readonly workMs: number;
    /** Share of the slots in use above which work takes longer, and how much. */
    readonly knee?: number;
    readonly kneeFactor?: number;
    /** Share of the time in which work takes `slowFactor` as long, drawn anew every `drawnEveryMs`. */
    readonly slowShare?: number;
    readonly slowFactor?: number;
    readonly drawnEveryMs?: number;
    /** Whether it tells its load; it does without this. */
    readonly tellsLoad?: boolean;
}

/** A time in which an upstream turns all requests away. */
export interface TurnAway {
    readonly untilMs: number;
    /** For how long it wants nothing more from whoever it turns away. */
    readonly restMs: number;
}

/** Time after an answer within which requests may still arrive that were on their way when it was sent, in milliseconds. */
const onTheWayMs = 3;

/** One request at a modelled upstream. */
interface Job {
    readonly onEnd: () => void;
}

/** Serves as many requests as it has slots, keeps some waiting, and sheds the rest. */
export class ModelUpstream {
    arrivals = 0;
    probes = 0;
    sheds = 0;
    mostInFlight = 0;
    /** Requests and probes that came from an instance which it had asked for a rest. */
    disturbed = 0;
    /** Requests that came from an instance to which it had said that it leaves. */
    late = 0;
    /** Whether it says that it leaves. */
    isLeaving = false;
    private readonly toldLeavingAtMs = new Map<string, number>();
    /** Set while it turns all requests away. */
    turnAway: TurnAway | undefined;
    /** What came while it named how much it takes. */
    readonly limits = new LimitJudge();
    /** Its header with how much it takes; `undefined` while it names no limit. */
    limitHeader: string | undefined;
    /** The rests that it asked for, by instance. */
    private readonly rests = new Map<string, { readonly askedAtMs: number; readonly untilMs: number; }>();
    private readonly running = new Map<Job, Timer>();
    private readonly waiting: Job[] = [];
    private slownessNow = 1;
    private drawnAtMs = -Infinity;

    constructor(private readonly options: ModelUpstreamOptions) {}

    /** Its load, as it tells it; `undefined` when it does not. */
    get load(): string | undefined {
        if (this.options.tellsLoad === false) {
            return undefined;
        }
        return [this.running.size, this.waiting.length, this.options.slots, this.slowness].join(",");
    }

    /** Names how many requests a second it takes from now on; `undefined` names none. */
    nameLimit(perSecond: number | undefined): void {
        this.limitHeader = perSecond === undefined ? undefined : String(perSecond);
        this.limits.noteNamed(perSecond, this.options.clock.nowMs());
    }

    /** Milliseconds for which it wants nothing more from an instance whose request it turns away; `undefined` while it takes them. */
    askForRest(instance: string): number | undefined {
        const nowMs = this.options.clock.nowMs();
        if (this.turnAway === undefined || nowMs >= this.turnAway.untilMs) {
            return undefined;
        }
        const { restMs } = this.turnAway;
        this.rests.set(instance, { askedAtMs: nowMs, untilMs: nowMs + restMs });
        return restMs;
    }

    /** Notes that a request or a probe has arrived from an instance. */
    noteArrival(instance: string): void {
        const nowMs = this.options.clock.nowMs();
        const rest = this.rests.get(instance);
        if (rest !== undefined && nowMs > rest.askedAtMs + onTheWayMs && nowMs < rest.untilMs) {
            this.disturbed += 1;
        }
    }

    /** Notes that an answer has reached an instance. */
    noteTold(instance: string): void {
        this.limits.noteTold(instance, this.options.clock.nowMs());
        if (this.isLeaving && !this.toldLeavingAtMs.has(instance)) {
            this.toldLeavingAtMs.set(instance, this.options.clock.nowMs());
        }
    }

    /** Notes that a request has arrived from an instance. */
    noteRequest(instance: string): void {
        const nowMs = this.options.clock.nowMs();
        this.limits.noteArrival(instance, nowMs);
        if (nowMs > (this.toldLeavingAtMs.get(instance) ?? Infinity) + onTheWayMs) {
            this.late += 1;
        }
    }

    /**
     * Takes a request.
     *
     * @returns Leaves it again; `undefined` when it was shed.
     */
    take(onEnd: () => void): (() => void) | undefined {
        this.arrivals += 1;
        const job: Job = { onEnd };
        if (this.running.size < this.options.slots) {
            this.begin(job);
        }
        else if (this.waiting.length < this.options.queue) {
            this.waiting.push(job);
        }
        else {
            this.sheds += 1;
            return undefined;
        }
        this.mostInFlight = Math.max(this.mostInFlight, this.running.size + this.waiting.length);
        return () => this.leave(job);
    }

    private get slowness(): number {
        const { clock, random, slowShare = 0, slowFactor = 1, drawnEveryMs = 150 } = this.options;
        if (clock.nowMs() - this.drawnAtMs >= drawnEveryMs) {
            this.drawnAtMs = clock.nowMs() - clock.nowMs() % drawnEveryMs;
            this.slownessNow = random.next() < slowShare ? slowFactor : 1;
        }
        return this.slownessNow;
    }

    private begin(job: Job): void {
        const { clock, random, slots, workMs, knee = 1, kneeFactor = 1 } = this.options;
        const crowding = (this.running.size + 1) / slots > knee ? kneeFactor : 1;
        const scatter = 0.6 + 0.8 * random.next();
        const timer = clock.after(workMs * scatter * crowding * this.slowness, () => {
            this.leave(job);
            job.onEnd();
        });
        this.running.set(job, timer);
    }

    private leave(job: Job): void {
        this.running.get(job)?.cancel();
        const wasRunning = this.running.delete(job);
        const next = wasRunning ? this.waiting.shift() : undefined;
        if (next !== undefined) {
            this.begin(next);
        }
        const index = this.waiting.indexOf(job);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
    }
}
