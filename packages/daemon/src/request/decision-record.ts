/**
 * The record of one request: what was decided, tried and answered.
 *
 * @packageDocumentation
 */

import type { Configuration, Route } from "@harrierhitch/configuration";
import type { Outcome, RequestId, RequestKey, UpstreamId } from "@harrierhitch/core";
import type { AttemptResult, Decision, DecisionInput } from "@harrierhitch/decision";
import type { PortState } from "../upstream/check-port.js";
import type { ProblemKind } from "./problem.js";

/** One decision with its input. */
export interface DecisionStep {
    /** Milliseconds since arrival. */
    readonly atMs: number;
    /** Time that the decision took. */
    readonly durationMs: number;
    readonly input: DecisionInput;
    readonly decision: Decision;
    /** Whether it sends the request to find out how a fuller upstream does; its input then takes those for as good as others. */
    readonly isExploration: boolean;
}

/** One attempt; its result is set when it has ended. */
export interface AttemptRecord {
    readonly upstream: UpstreamId;
    /** Span of the attempt in the trace. */
    readonly spanId: string;
    /** Milliseconds since arrival. */
    readonly startedMs: number;
    endedMs: number | undefined;
    result: AttemptResult | undefined;
    outcome: Outcome | undefined;
    /** What was asked, and whether anyone still listened at the upstream, where the connection broke. */
    connectionLoss?: { readonly key: RequestKey; readonly port: PortState; };
}

/** What is kept of one request, filled in while it is served. */
export interface DecisionRecord {
    readonly id: RequestId;
    readonly arrivedAtUnixMs: number;
    readonly configuration: Configuration;
    readonly route: Route;
    readonly traceId: string;
    /** Span of this hop in the trace. */
    readonly spanId: string;
    /** Span of the caller in the trace; empty without one. */
    readonly parentSpanId: string;
    readonly steps: DecisionStep[];
    readonly attempts: AttemptRecord[];
    outcome: Outcome | undefined;
    status: number | undefined;
    problem: ProblemKind | undefined;
    durationMs: number | undefined;
}
