/**
 * What the daemon provides to each request.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { RetryBudget } from "@harrierhitch/decision";
import type { Claimer, ClaimResult } from "@harrierhitch/fleet";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { EventLog } from "./event-log.js";
import type { ExplanationStore } from "./explanation-store.js";
import type { BodyLimits } from "./request-body.js";
import type { RequestIds } from "./request-id.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Shared parts that requests use. */
export interface RequestServices {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly explanations: ExplanationStore;
    readonly retryBudget: RetryBudget;
    readonly requestIds: RequestIds;
    readonly bodyLimits: BodyLimits;
    readonly log: EventLog;
    /** Claims the keys of requests that must not run twice. */
    readonly claimer: Claimer;
    /** Decides whether a trace that begins here is recorded. */
    sampleTrace(): boolean;
    /** Told of the result of each claim. */
    onClaim(result: ClaimResult["type"]): void;
    /** Told when an attempt has ended. */
    onAttempt(route: Route, attempt: AttemptRecord): void;
    /** Told when a request was answered. */
    onServed(record: DecisionRecord, sampled: boolean): void;
}
