/**
 * What a soak checks, from what callers and upstreams see.
 *
 * @packageDocumentation
 */

import type { AskedByUpstream } from "../upstream-standin.js";
import { LimitWatch } from "./limit-checker.js";

/** What a caller saw of one request. */
export interface SeenAnswer {
    /** Number of the request; each is sent once. */
    readonly number: string;
    readonly method: "GET" | "POST";
    /** Name of the entry instance, and which start of it. */
    readonly entry: string;
    readonly incarnation: number;
    /** Status; `undefined` where the connection broke. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    /** Whether the body is whole and the one that belongs to the request; meaningful with status 200. */
    readonly isOwn: boolean;
    readonly tookMs: number;
    /** Whether the entry was being stopped as planned when the connection broke, with no fault of it besides. */
    readonly duringPlannedStop: boolean;
}

/** A promise that was broken. */
export interface Violation {
    readonly promise:
        | "whole"
        | "once"
        | "not-run"
        | "stop"
        | "rest"
        | "leaving"
        | "limit"
        | "configuration"
        | "answered"
        | "recovery";
    readonly detail: string;
}

interface Asked {
    readonly atMs: number;
    readonly untilMs: number;
    readonly incarnation: number;
    arrivals: number;
}

/** Time after an answer within which requests may arrive that were sent before it was heard, in milliseconds: as users count. */
const onTheWayMs = 500;

/** Requests that may reach a resting upstream after that time: as users count. */
const restAllowance = 2;

/** Time after its own word by which a leaving upstream gets no more requests: the bound that users set. */
const leavingMs = 2000;

/** Keeps what was seen, and tells what was broken. */
export class SoakJudge {
    readonly violations: Violation[] = [];
    private readonly answers: SeenAnswer[] = [];
    private readonly rests = new Map<string, Asked>();
    private readonly leaving = new Map<string, Asked>();
    private readonly limits = new LimitWatch(detail => this.break("limit", detail));
    private readonly generations = new Map<string, number>();

    /**
     * @param longestMs - Longest time that a request may take to its answer.
     * @param lagMs - How late the process that judges has looked lately, in milliseconds.
     */
    constructor(private readonly longestMs: number, private readonly lagMs: () => number = () => 0) {}

    /** Requests that were answered with 200. */
    get served(): number {
        return this.answers.filter(({ status }) => status === 200).length;
    }

    /** Requests that have ended, however. */
    get ended(): number {
        return this.answers.length;
    }

    /** Notes what a caller saw. */
    noteAnswer(answer: SeenAnswer): void {
        this.answers.push(answer);
        const { number, status, isOwn, tookMs, entry } = answer;
        if (status === 200 && !isOwn) {
            this.break("whole", `${number} at ${entry} got another answer, or not the whole one`);
        }
        if (tookMs > this.longestMs + this.lagMs()) {
            this.break("answered", `${number} at ${entry} took ${Math.round(tookMs)} ms`);
        }
    }

    /**
     * Notes a request that arrives at an upstream, with what its answer asks of the instance.
     *
     * @param upstream - The upstream.
     * @param entry - The instance that sent it, and which start of it; one that slept meanwhile is another start to this check.
     * @param atMs - When it arrived.
     * @param asks - What its answer asks for.
     */
    noteArrival(
        upstream: string,
        entry: { readonly name: string; readonly incarnation: number; },
        atMs: number,
        asks: AskedByUpstream,
    ): void {
        this.limits.note(upstream, `${entry.name} ${entry.incarnation}`, atMs, asks);
        const pair = `${entry.name} ${upstream}`;
        const rest = this.rests.get(pair);
        if (rest?.incarnation === entry.incarnation && atMs > rest.atMs + onTheWayMs + this.lagMs() && atMs < rest.untilMs) {
            rest.arrivals += 1;
            if (rest.arrivals === restAllowance + 1) {
                this.break("rest", `${upstream} got ${rest.arrivals} requests of ${entry.name} while it rested`);
            }
        }
        const left = this.leaving.get(pair);
        if (left?.incarnation === entry.incarnation && atMs > left.atMs + leavingMs + this.lagMs()) {
            this.break("leaving", `${upstream} got a request of ${entry.name} ${Math.round(atMs - left.atMs)} ms after its word`);
        }
        if (asks.restMs > 0 && !(rest?.incarnation === entry.incarnation && atMs < rest.untilMs)) {
            this.rests.set(pair, { atMs, untilMs: atMs + asks.restMs, incarnation: entry.incarnation, arrivals: 0 });
        }
        if (asks.leaving && left?.incarnation !== entry.incarnation) {
            this.leaving.set(pair, { atMs, untilMs: Infinity, incarnation: entry.incarnation, arrivals: 0 });
        }
    }

    /** Forgets what an upstream asked for: the answers that said so may have been lost on their way. */
    forgetAsked(upstream: string): void {
        this.limits.forget(upstream);
        [this.rests, this.leaving].forEach(asked =>
            [...asked.keys()].filter(pair => pair.endsWith(` ${upstream}`)).forEach(pair => asked.delete(pair))
        );
    }

    /** Notes the generation that a start of an instance says is in force. */
    noteGeneration(entry: string, incarnation: number, generation: number): void {
        const name = `${entry} ${incarnation}`;
        const before = this.generations.get(name) ?? 0;
        if (generation < before) {
            this.break("configuration", `${entry} went back from generation ${before} to ${generation}`);
        }
        this.generations.set(name, Math.max(before, generation));
    }

    /** Notes the answers to requests after the last fault, all of which have to be served. */
    noteRecovery(answers: readonly SeenAnswer[]): void {
        const lost = answers.filter(({ status }) => status !== 200);
        if (lost.length > 0) {
            const details = lost.map(({ number, entry, status, outcome }) => `${number} at ${entry}: ${status} ${outcome}`);
            this.break("recovery", `${lost.length} of ${answers.length} requests after the last fault: ${details.join(", ")}`);
        }
    }

    /**
     * Judges what can be told only in the end.
     *
     * @param runsOf - How often upstreams ran a request.
     */
    finish(runsOf: (number: string) => number): readonly Violation[] {
        this.answers.forEach(({ number, method, entry, status, outcome, duringPlannedStop }) => {
            const runs = runsOf(number);
            if (method === "POST" && runs > 1) {
                this.break("once", `${number} at ${entry} ran ${runs} times`);
            }
            if (outcome === "not-run" && runs > 0) {
                this.break("not-run", `${number} at ${entry} was answered ${status} as not run, and ran ${runs} times`);
            }
            if (status === undefined && duringPlannedStop && runs > 0) {
                this.break("stop", `${number} was cut off by the planned stop of ${entry}`);
            }
        });
        return this.violations;
    }

    private break(promise: Violation["promise"], detail: string): void {
        this.violations.push({ promise, detail });
    }
}
