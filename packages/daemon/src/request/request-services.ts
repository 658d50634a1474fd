/**
 * Services that the requests of an instance share.
 *
 * @packageDocumentation
 */

import type { Clock, Deadline, RandomSource, ServiceName } from "@harrierhitch/core";
import type { Decision, DecisionInput } from "@harrierhitch/decision";
import type { ExplanationStore } from "../operators/explanation-store.js";
import type { PollMonitor } from "../poll-monitor.js";
import type { StateGate } from "../state-gate.js";
import type { EventLog } from "../telemetry/event-log.js";
import type { Prober } from "../upstream/prober.js";
import type { UpstreamTransport } from "../upstream/upstream-transport.js";
import type { CrashDetector } from "./crash-detector.js";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { Departure } from "./departure.js";
import type { HeaderProtocol } from "./header-protocol.js";
import type { BodyLimits } from "./read-body.js";
import type { RequestIds } from "./request-id.js";
import type { ReceivedNotice } from "./response-notice.js";
import type { UnattributedResponse } from "./unattributed-response.js";

export interface RequestServices {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly headerProtocol: HeaderProtocol;
    readonly transport: UpstreamTransport;
    readonly prober: Prober;
    readonly explanations: ExplanationStore;
    readonly crashes: CrashDetector;
    readonly requestIds: RequestIds;
    /** When requests are given up because of a planned stop. */
    readonly requestsEnd: Deadline;
    readonly bodyLimits: BodyLimits;
    /** Maximum size of a response that is buffered until it is complete. */
    readonly responseBufferBytes: number;
    readonly log: EventLog;
    readonly polls: PollMonitor;
    readonly stateGate: StateGate;
    /** Decides whether a trace that starts here is sampled. */
    sampleTrace(): boolean;
    onNotice(notice: ReceivedNotice): void;
    onUnattributed(response: UnattributedResponse): void;
    onDecision(service: ServiceName, input: DecisionInput, decision: Decision): void;
    onAttempt(record: DecisionRecord, attempt: AttemptRecord): void;
    onDeparture(record: DecisionRecord, departure: Departure): void;
    onServed(record: DecisionRecord, sampled: boolean): void;
}
