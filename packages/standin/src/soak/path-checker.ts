/**
 * Compares what instances that are cut off from upstreams serve with what the others serve.
 *
 * @packageDocumentation
 */

import type { ObservedResponse } from "./observed-response.js";

/** A time in which an instance, and not all others, was cut off from upstreams. */
export interface Cut {
    readonly entry: string;
    readonly incarnation: number;
    readonly fromMs: number;
    readonly untilMs: number;
    /** Whether the instance, and another one that was not cut off, ran all the time; else failures may have other causes. */
    readonly isComparable: boolean;
}

/** Time after the beginning of a cut from which an instance has to serve like the others, in milliseconds. */
const detectionMs = 1000;

/** Share of what others serve that an instance has to serve. */
const leastServedShare = 0.95;

/** Fewest requests on either side that are compared. */
const comparedRequests = 20;

/** Records cuts and responses. */
export class PathChecker {
    private readonly cuts: Cut[] = [];
    private readonly responses: { readonly response: ObservedResponse; readonly sentAtMs: number; }[] = [];

    /** Records a cut when it has ended. */
    recordCut(cut: Cut): void {
        this.cuts.push(cut);
    }

    /**
     * Records a response.
     *
     * @param response - What the caller observed.
     * @param sentAtMs - When the request was sent, in milliseconds.
     */
    recordResponse(response: ObservedResponse, sentAtMs: number): void {
        this.responses.push({ response, sentAtMs });
    }

    /** Describes each cut in which an instance served too little. */
    get violations(): readonly string[] {
        return this.cuts.flatMap(cut => this.check(cut) ?? []);
    }

    private check(cut: Cut): string | undefined {
        const during = this.responses.filter(({ sentAtMs, response }) =>
            sentAtMs >= cut.fromMs + detectionMs && sentAtMs + response.durationMs <= cut.untilMs
        );
        const own = during.filter(({ response }) => response.entry === cut.entry && response.incarnation === cut.incarnation);
        const others = during.filter(({ response }) => !this.wasCut(response.entry, cut));
        if (!cut.isComparable || own.length < comparedRequests || others.length < comparedRequests) {
            return undefined;
        }
        const [served, expected] = [servedShareOf(own), servedShareOf(others)];
        const otherEntries = new Set(others.map(({ response }) => response.entry)).size;
        // Where upstreams limit what all are served, an instance that rejects sooner is sent more requests, so its share alone is lower.
        const isServedLikeOthers = served >= leastServedShare * expected
            || servedOf(own) >= leastServedShare * servedOf(others) / otherEntries;
        return isServedLikeOthers
            ? undefined
            : `${cut.entry} served ${served.toFixed(3)} of ${own.length} requests while cut off, the others ${
                expected.toFixed(3)
            } of ${others.length}`;
    }

    private wasCut(entry: string, { fromMs, untilMs }: Cut): boolean {
        return this.cuts.some(other => other.entry === entry && other.fromMs < untilMs && other.untilMs > fromMs);
    }
}

const servedOf = (responses: readonly { readonly response: ObservedResponse; }[]): number =>
    responses.filter(({ response }) => response.status === 200).length;

const servedShareOf = (responses: readonly { readonly response: ObservedResponse; }[]): number =>
    servedOf(responses) / responses.length;
