/**
 * What the daemon provides to each request.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, ServiceName } from "@harrierhitch/core";
import type { Decision, DecisionInput } from "@harrierhitch/decision";
import type { ExplanationStore } from "../operators/explanation-store.js";
import type { EventLog } from "../telemetry/event-log.js";
import type { Prober } from "../upstream/prober.js";
import type { UpstreamTransport } from "../upstream/upstream-transport.js";
import type { CrashDetector } from "./crash-detector.js";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { HeaderProtocol } from "./header-protocol.js";
import type { BodyLimits } from "./request-body.js";
import type { RequestIds } from "./request-id.js";
import type { ReceivedNotice } from "./response-notice.js";

/** Shared parts that requests use. */
export interface RequestServices {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly dialect: HeaderProtocol;
    readonly transport: UpstreamTransport;
    readonly prober: Prober;
    readonly explanations: ExplanationStore;
    readonly crashes: CrashDetector;
    readonly requestIds: RequestIds;
    readonly bodyLimits: BodyLimits;
    /** Largest answer that is kept back until it is whole. */
    readonly answerBufferBytes: number;
    readonly log: EventLog;
    /** Decides whether a trace that begins here is recorded. */
    sampleTrace(): boolean;
    /** Told of what an upstream asks of this instance in the head of an answer. */
    onNotice(notice: ReceivedNotice): void;
    /** Told of each decision. */
    onDecision(service: ServiceName, input: DecisionInput, decision: Decision): void;
    /** Told when an attempt has ended. */
    onAttempt(record: DecisionRecord, attempt: AttemptRecord): void;
    /** Told when a request was answered. */
    onServed(record: DecisionRecord, sampled: boolean): void;
}
