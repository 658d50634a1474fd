/**
 * The planned stop of a daemon.
 *
 * @packageDocumentation
 */

import { type Clock, Deadline, sleep } from "@harrierhitch/core";
import type { Instance } from "./instance.js";
import type { PeerJoiner } from "./peers/peer-joiner.js";
import type { CallersServer } from "./request/callers-server.js";
import { type StopLimits, type StopPlan, stopPlan } from "./stop-plan.js";
import type { EventLog } from "./telemetry/event-log.js";
import { events } from "./telemetry/event.js";

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly instance: Instance;
    readonly callers: CallersServer;
    readonly peers: PeerJoiner;
    readonly limits: StopLimits;
    /** Resolves when the daemon has started; it may be stopped before. */
    readonly whenStarted: () => Promise<unknown>;
    /** Closes what is left when no more requests are served. */
    readonly closeRest: () => Promise<void>;
}

/** How a planned stop has ended. */
export interface StopResult {
    /** Whether nobody reads the log, so that the process cannot exit: Node waits for what it writes. */
    readonly isLogBlocked: boolean;
}

/** Longest time for which the reader of the log is waited for, in milliseconds. */
const maximumFlushMs = 1000;

/** Stops a daemon within the time that its supervisor allows. */
export class PlannedStop {
    private readonly portCloses: Deadline;
    private readonly connectionsEnd: Deadline;
    private readonly processEnds: Deadline;
    private limits: StopLimits;
    private requestedAtMs: number | undefined;
    private running: Promise<StopResult> | undefined;

    /** @param options - The parts that are stopped. */
    constructor(private readonly options: PlannedStopOptions) {
        const { clock, limits } = options;
        this.limits = limits;
        this.portCloses = new Deadline(clock);
        this.connectionsEnd = new Deadline(clock);
        this.processEnds = new Deadline(clock);
    }

    /** The times of a stop by the current limits. */
    get plan(): StopPlan {
        return stopPlan(this.limits);
    }

    /**
     * Applies changed limits. During a stop they may only shorten it, since the supervisor may still count by the earlier ones.
     *
     * @param limits - The limits.
     */
    reload(limits: StopLimits): void {
        this.limits = limits;
        this.schedule();
    }

    /** Stops the daemon; resolves when the stop is complete. Further calls have no effect on it. */
    run(): Promise<StopResult> {
        if (this.running !== undefined) {
            this.options.log.write(events.stopRepeated, { ageMs: this.options.clock.nowMs() - (this.requestedAtMs ?? 0) });
        }
        this.running ??= this.stop();
        return this.running;
    }

    private async stop(): Promise<StopResult> {
        const { clock, log, instance, callers, peers } = this.options;
        this.requestedAtMs = clock.nowMs();
        this.schedule();
        log.write(events.stopRequested, { ...this.plan });
        instance.beginStop();
        callers.announceStop();
        peers.announceLeaving();
        await Promise.all([this.options.whenStarted(), this.portCloses.passed()]);
        log.write(events.callersPortClosed, { inFlight: callers.inFlight });
        const finished = new AbortController();
        const connectionsEnded = this.connectionsEnd.passed(finished.signal);
        const abortedRequests = await callers.close(connectionsEnded);
        await Promise.race([peers.drain(), connectionsEnded]);
        if (abortedRequests > 0) {
            log.write(events.stopAbortedRequests, { requests: abortedRequests });
        }
        const processEnds = this.processEnds.passed(finished.signal);
        await Promise.race([this.options.closeRest(), processEnds]);
        log.write(events.stopped);
        const isLogWritten = log.flush().then(() => true);
        const isOver = Promise.race([sleep(clock, maximumFlushMs, finished.signal), processEnds]).then(() => false);
        const isLogBlocked = !await Promise.race([isLogWritten, isOver]);
        finished.abort();
        return { isLogBlocked };
    }

    private schedule(): void {
        const { requestedAtMs, plan, options: { instance } } = this;
        if (requestedAtMs !== undefined) {
            this.portCloses.bringForward(requestedAtMs + plan.portClosesMs);
            instance.endRequestsAt(requestedAtMs + plan.requestsEndMs);
            this.connectionsEnd.bringForward(requestedAtMs + plan.connectionsEndMs);
            this.processEnds.bringForward(requestedAtMs + plan.processEndsMs);
        }
    }
}
