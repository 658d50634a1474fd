/**
 * Creates the report of the staleness with which an instance routes requests.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import type { Instance } from "./instance.js";
import type { PlatformLink } from "./platform/platform-link.js";
import type { PollMonitor } from "./poll-monitor.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import { type StalenessSource, StalenessTelemetry } from "./telemetry/staleness-telemetry.js";

/** Options of {@link createStalenessTelemetry}; the instance and its link to the platform are created later. */
export interface CreateStalenessTelemetryOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly polls: PollMonitor;
    readonly times: FleetTimes;
    readonly instance: () => Instance;
    readonly platform: () => PlatformLink;
}

/** Creates the report. */
export const createStalenessTelemetry = (options: CreateStalenessTelemetryOptions): StalenessTelemetry =>
    new StalenessTelemetry({
        log: options.log,
        metrics: options.metrics,
        boundMs: options.times.boundMs,
        stalenessMs: () => options.platform().stalenessMs,
        source: () => sourceOf(options),
    });

const sourceOf = ({ clock, polls, instance, platform }: CreateStalenessTelemetryOptions): StalenessSource => {
    const { generation, directory: { revision }, fleet } = instance();
    const response = fleet?.calls.lastDistributorResponse;
    return {
        generation,
        revision,
        role: fleet === undefined ? "alone" : roleName(fleet.roles),
        distributor: response?.instance,
        distributorStalenessMs: response?.stalenessMs,
        distributorAgeMs: response === undefined ? undefined : clock.nowMs() - response.atMs,
        platformAgeMs: platform().lastResponseAgeMs,
        platformCallMs: platform().callMs,
        unseenMs: polls.unseenMs,
    };
};

const roleName = ({ isReader, isRelay }: Fleet["roles"]): StalenessSource["role"] => {
    if (isReader) {
        return "reader";
    }
    return isRelay ? "relay" : "subscriber";
};
