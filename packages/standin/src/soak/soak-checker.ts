/**
 * Checks the guarantees of the load balancer against what callers and upstreams observe during a soak.
 *
 * @packageDocumentation
 */

import type { UpstreamAnnouncement } from "../upstream-announcement.js";
import { LeaveChecker } from "./leave-checker.js";
import { LimitChecker } from "./limit-checker.js";
import type { ObservedResponse } from "./observed-response.js";
import { PathChecker } from "./path-checker.js";

/** A guarantee that was violated. */
export interface Violation {
    /** Name of the guarantee, which the result of a soak contains. */
    readonly promise:
        | "whole"
        | "once"
        | "asked"
        | "not-run"
        | "stop"
        | "rest"
        | "leaving"
        | "limit"
        | "configuration"
        | "answered"
        | "recovery"
        | "returned"
        | "left"
        | "cut-off";
    readonly detail: string;
}

/** A backoff or drain that an instance received from an upstream, and the requests that arrived in spite of it. */
interface Announcement {
    readonly atMs: number;
    readonly untilMs: number;
    readonly incarnation: number;
    arrivals: number;
}

/** Time within which requests may arrive that were sent before the instance received the backoff, in milliseconds. */
const inFlightGraceMs = 500;

/** Number of requests from one instance that may still arrive during a backoff. */
const backoffAllowance = 2;

/** Time after its announcement from which a draining upstream must receive no more requests, in milliseconds. */
const drainDeadlineMs = 2000;

/** Statuses that promise that the request did not run, whatever the outcome in the response. */
const refusingStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Returns the number of the request that is quoted in the body of another one, which no caller sent. */
export const quotedNumberOf = (number: string): string => `quoted-${number}`;

/** Records what callers and upstreams observe, and reports violations. */
export class SoakChecker {
    readonly violations: Violation[] = [];
    private readonly responses: ObservedResponse[] = [];
    private readonly backoffs = new Map<string, Announcement>();
    private readonly drains = new Map<string, Announcement>();
    private readonly limitChecker = new LimitChecker(detail => this.addViolation("limit", detail));
    /** Checks what upstreams do for callers that have left. */
    readonly leaveChecker = new LeaveChecker({
        lagMs: () => this.lagMs(),
        onViolation: detail => this.addViolation("left", detail),
    });
    /** Compares instances that are cut off from upstreams with the others. */
    readonly pathChecker = new PathChecker();
    private readonly generations = new Map<string, number>();

    /**
     * @param maximumDurationMs - Longest time until a request must be answered, in milliseconds.
     * @param lagMs - Returns the longest recent stall of this process, in milliseconds.
     */
    constructor(private readonly maximumDurationMs: number, private readonly lagMs: () => number = () => 0) {}

    /** Number of requests that were answered with 200. */
    get served(): number {
        return this.responses.filter(({ status }) => status === 200).length;
    }

    /** Number of requests that have ended, with or without a response. */
    get ended(): number {
        return this.responses.length;
    }

    /** Records that a planned stop did not end by itself in its time, or with an error. */
    recordUnplannedEnd(entry: string, stopMs: number): void {
        this.addViolation("stop", `${entry} did not end as planned within ${stopMs} ms`);
    }

    /** Records what a caller observed. */
    recordResponse(response: ObservedResponse): void {
        this.responses.push(response);
        const { number, status, isCorrect, durationMs, entry } = response;
        if (status === 200 && !isCorrect) {
            this.addViolation("whole", `${number} at ${entry} received the response to another request, or an incomplete one`);
        }
        if (durationMs > this.maximumDurationMs + this.lagMs()) {
            this.addViolation("answered", `${number} at ${entry} took ${Math.round(durationMs)} ms`);
        }
    }

    /**
     * Records a request that arrives at an upstream, with what its response announces to the instance.
     *
     * @param upstream - The upstream.
     * @param entry - The instance that sent it; an instance that was paused since has another incarnation.
     * @param atMs - When it arrived, in milliseconds.
     * @param announced - What the response announces.
     */
    recordArrival(
        upstream: string,
        entry: { readonly name: string; readonly incarnation: number; },
        atMs: number,
        announced: UpstreamAnnouncement,
    ): void {
        this.limitChecker.record(upstream, `${entry.name} ${entry.incarnation}`, atMs, announced);
        const key = `${entry.name} ${upstream}`;
        const backoff = this.backoffs.get(key);
        if (
            backoff?.incarnation === entry.incarnation && atMs > backoff.atMs + inFlightGraceMs + this.lagMs()
            && atMs < backoff.untilMs
        ) {
            backoff.arrivals += 1;
            if (backoff.arrivals === backoffAllowance + 1) {
                this.addViolation(
                    "rest",
                    `${upstream} received ${backoff.arrivals} requests from ${entry.name} during its backoff`,
                );
            }
        }
        const drain = this.drains.get(key);
        if (drain?.incarnation === entry.incarnation && atMs > drain.atMs + drainDeadlineMs + this.lagMs()) {
            this.addViolation(
                "leaving",
                `${upstream} received a request from ${entry.name} ${Math.round(atMs - drain.atMs)} ms after it began to drain`,
            );
        }
        if (announced.backoffMs > 0 && !(backoff?.incarnation === entry.incarnation && atMs < backoff.untilMs)) {
            this.backoffs.set(key, { atMs, untilMs: atMs + announced.backoffMs, incarnation: entry.incarnation, arrivals: 0 });
        }
        if (announced.isDraining && drain?.incarnation !== entry.incarnation) {
            this.drains.set(key, { atMs, untilMs: Infinity, incarnation: entry.incarnation, arrivals: 0 });
        }
    }

    /** Discards what an upstream has announced, because responses with the announcement may have been lost. */
    clearAnnouncements(upstream: string): void {
        this.limitChecker.clear(upstream);
        [this.backoffs, this.drains].forEach(announcements =>
            [...announcements.keys()].filter(key => key.endsWith(` ${upstream}`)).forEach(key => announcements.delete(key))
        );
    }

    /** Records the configuration generation that an incarnation of an instance reports as active. */
    recordGeneration(entry: string, incarnation: number, generation: number): void {
        const key = `${entry} ${incarnation}`;
        const highest = this.generations.get(key) ?? 0;
        if (generation < highest) {
            this.addViolation("configuration", `${entry} reverted from generation ${highest} to ${generation}`);
        }
        this.generations.set(key, Math.max(highest, generation));
    }

    /** Records the responses to requests after the last fault; all of them must have status 200. */
    recordRecovery(responses: readonly ObservedResponse[]): void {
        const failed = responses.filter(({ status }) => status !== 200);
        if (failed.length > 0) {
            const details = failed.map(({ number, entry, status, outcome }) => `${number} at ${entry}: ${status} ${outcome}`);
            this.addViolation(
                "recovery",
                `${failed.length} of ${responses.length} requests failed after the last fault: ${details.join(", ")}`,
            );
        }
    }

    /**
     * Records which upstreams an instance sends no requests to although all faults have ended.
     *
     * @param entry - The instance.
     * @param draining - Names of the upstreams that it holds to be draining.
     * @param serving - Names of the upstreams that have not drained.
     */
    recordDraining(entry: string, draining: readonly string[], serving: readonly string[]): void {
        draining.filter(upstream => serving.includes(upstream)).forEach(upstream =>
            this.addViolation("returned", `${upstream} serves, but ${entry} holds it to be draining`)
        );
    }

    /**
     * Runs the checks that need the complete soak.
     *
     * @param runCountOf - Returns how often upstreams ran the request with a number.
     * @param hasSpoilt - Returns whether an upstream broke off an answer to it, or sent another one behind it.
     * @returns All violations.
     */
    finish(
        runCountOf: (number: string) => number,
        hasSpoilt: (number: string) => boolean = () => false,
    ): readonly Violation[] {
        this.responses.forEach(({ number, method, entry, status, outcome, duringPlannedStop }) => {
            const runCount = runCountOf(number);
            if (runCountOf(quotedNumberOf(number)) > 0) {
                this.addViolation("asked", `the request that is quoted in the body of ${number} at ${entry} ran`);
            }
            if (method !== "GET" && runCount > 1) {
                this.addViolation("once", `${number} at ${entry} ran ${runCount} times`);
            }
            const isPromised = outcome === "not-run" || status !== undefined && refusingStatuses.has(status);
            if (isPromised && runCount > 0) {
                this.addViolation(
                    "not-run",
                    `${number} at ${entry} was answered ${status} with outcome ${outcome}, but ran ${runCount} times`,
                );
            }
            if (status === undefined && duringPlannedStop && runCount > 0 && !hasSpoilt(number)) {
                this.addViolation("stop", `${number} was aborted by the planned stop of ${entry}`);
            }
        });
        this.pathChecker.violations.forEach(detail => this.addViolation("cut-off", detail));
        return this.violations;
    }

    private addViolation(promise: Violation["promise"], detail: string): void {
        this.violations.push({ promise, detail });
    }
}
