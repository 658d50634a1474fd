/**
 * The record of one request: its decisions, attempts and outcome.
 *
 * @packageDocumentation
 */

import type { ConfigurationVersion } from "@harrierhitch/configuration";
import type { Outcome, RequestId, RequestKey, UpstreamId } from "@harrierhitch/core";
import type { AttemptResult, Decision, DecisionInput, Placement } from "@harrierhitch/decision";
import { newSpanId } from "../telemetry/trace-context.js";
import type { PortState } from "../upstream/check-port.js";
import type { ConnectionUse } from "../upstream/connection-use.js";
import type { Framing } from "../upstream/framing.js";
import type { Attribution } from "./header-protocol.js";
import type { ProblemKind } from "./problem.js";
import type { PauseReason } from "./reading-pauses.js";
import type { RecordedRoute } from "./recorded-route.js";

/** A decision with its input. */
export interface DecisionStep {
    /** Milliseconds since arrival. */
    readonly atMs: number;
    readonly durationMs: number;
    readonly input: DecisionInput;
    readonly decision: Decision;
    /** Which zones the decision evaluated, and why; `input` has their upstreams only. */
    readonly placement: Pick<Placement, "scope" | "reason">;
    /** Whether the decision explores an upstream beyond its known utilization. */
    readonly isExploration: boolean;
}

/** An attempt; its result is set when it has ended. */
export interface AttemptRecord {
    readonly upstream: UpstreamId;
    readonly spanId: string;
    /** Milliseconds since arrival. */
    readonly startedMs: number;
    /** Time at which the first byte was sent; `undefined` before. */
    sentMs: number | undefined;
    /** The connection on which it was sent; `undefined` before. */
    use: Pick<ConnectionUse, "connection" | "precedingRequests"> | undefined;
    /** Time at which the head of a response was received; `undefined` without one. */
    headMs: number | undefined;
    /** Whose response that is. */
    attribution: Attribution | undefined;
    /** What delimits its body. */
    framing: Framing | undefined;
    /** Bytes of its body that were read. */
    responseBytes: number;
    /** Why nothing was read from the caller's connection when the first byte was sent; `undefined` if it was read. */
    pausedFor: PauseReason | undefined;
    endedMs: number | undefined;
    result: AttemptResult | undefined;
    outcome: Outcome | undefined;
    /** Bytes of the request's body and of the response's body that this attempt transferred. */
    payloadBytes: number;
    /** Whether the upstream that shed it reported headroom; absent if it was not shed. */
    shedWithHeadroom?: boolean | undefined;
    /** Key of the request and state of the upstream's port after the connection was lost. */
    connectionLoss?: { readonly key: RequestKey; readonly port: PortState; };
}

/** The record of an attempt that has just started, `startedMs` milliseconds after its request arrived. */
export const newAttemptRecord = (upstream: UpstreamId, startedMs: number): AttemptRecord => ({
    upstream,
    spanId: newSpanId(),
    startedMs,
    sentMs: undefined,
    use: undefined,
    headMs: undefined,
    attribution: undefined,
    framing: undefined,
    responseBytes: 0,
    pausedFor: undefined,
    endedMs: undefined,
    result: undefined,
    outcome: undefined,
    payloadBytes: 0,
});

/** Why a streamed response was not complete; `unread`: it had not been read for some time, because its caller read slowly. */
export type Interruption = "deadline" | "unread" | "upstream";

/**
 * The record of a request, filled in while it is served. Records outlive configurations, so they refer to no part of one.
 * `operators/estimate-bytes.ts` estimates what they keep.
 */
export interface DecisionRecord {
    readonly id: RequestId;
    readonly arrivedAtUnixMs: number;
    /** The configuration by which the request was routed. */
    readonly version: ConfigurationVersion;
    /** Staleness of the published state by which the request was routed, in milliseconds. */
    readonly stalenessMs: number;
    readonly route: RecordedRoute;
    readonly traceId: string;
    /** Span ID of this hop. */
    readonly spanId: string;
    /** Span ID of the caller; empty without one. */
    readonly parentSpanId: string;
    readonly steps: DecisionStep[];
    readonly attempts: AttemptRecord[];
    outcome: Outcome | undefined;
    status: number | undefined;
    problem: ProblemKind | undefined;
    durationMs: number | undefined;
    /** Set if the response was streamed and aborted. */
    interruption?: Interruption;
    /** Longest time for which a streamed response was not read from its upstream; absent if it was read at once. */
    longestPauseMs?: number;
    /** What delimits the body of the response to the caller; absent if no response of an upstream was sent. */
    callerFraming?: Framing | undefined;
}
