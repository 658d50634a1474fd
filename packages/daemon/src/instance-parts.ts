/**
 * What an instance is made of.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { DocumentParser } from "./platform/platform.js";
import type { DecisionRecord } from "./request/decision-record.js";
import type { HeaderProtocol } from "./request/header-protocol.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import type { RegistryUpdate } from "./upstream/service-registry.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Parts that an instance is made of; each can be replaced in tests. */
export interface InstanceParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly headerProtocol: HeaderProtocol;
    readonly parser: DocumentParser;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Milliseconds for which removals that the platform tells are doubtful. */
    readonly removalGraceMs: () => number;
    /** Told when another configuration came into force. */
    readonly onConfigured?: (update: RegistryUpdate) => void;
    /** Takes the record of each request that is traced. */
    readonly onTraced?: (record: DecisionRecord) => void;
}
