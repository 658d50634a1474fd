/**
 * Dependencies of an instance.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { DocumentParser } from "./platform/platform.js";
import type { PollMonitor } from "./poll-monitor.js";
import type { DecisionRecord } from "./request/decision-record.js";
import type { HeaderProtocol } from "./request/header-protocol.js";
import type { StateGate } from "./state-gate.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import type { StalenessTelemetry } from "./telemetry/staleness-telemetry.js";
import type { RegistryUpdate } from "./upstream/service-registry.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Dependencies of an instance; tests replace them. */
export interface InstanceParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly headerProtocol: HeaderProtocol;
    readonly parser: DocumentParser;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly polls: PollMonitor;
    /** Milliseconds for which removals published by the platform remain unconfirmed. */
    readonly removalGraceMs: () => number;
    /** The staleness of what the platform published, and its report. */
    readonly staleness: Pick<StalenessTelemetry, "stalenessMs" | "recordRouted" | "fields">;
    /** Holds requests while that state may be older than its bound. */
    readonly stateGate: StateGate;
    /** Called when another configuration has become active. */
    readonly onConfigured?: (update: RegistryUpdate) => void;
    /** Receives the decision record of each traced request. */
    readonly onTraced?: (record: DecisionRecord) => void;
}
