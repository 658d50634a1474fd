/**
 * Creates what reports the staleness with which an instance routes requests, and what limits it.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import type { InstanceParts } from "./instance-parts.js";
import type { Instance } from "./instance.js";
import type { PlatformLink } from "./platform/platform-link.js";
import type { PollMonitor } from "./poll-monitor.js";
import { StateGate } from "./state-gate.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import { type StalenessSource, StalenessTelemetry } from "./telemetry/staleness-telemetry.js";
import { StateGateTelemetry } from "./telemetry/state-gate-telemetry.js";

/** Options of {@link createStalenessParts}; the instance and its link to the platform are created later. */
export interface CreateStalenessPartsOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly polls: PollMonitor;
    readonly times: FleetTimes;
    readonly instance: () => Instance;
    readonly platform: () => PlatformLink;
}

/** Creates the report and the gate. */
export const createStalenessParts = (options: CreateStalenessPartsOptions): Pick<InstanceParts, "staleness" | "stateGate"> => {
    const { clock, log, metrics, times: { boundMs }, platform } = options;
    const stalenessMs = (): number => platform().stalenessMs;
    const source = (): StalenessSource => sourceOf(options);
    return {
        staleness: new StalenessTelemetry({ log, metrics, boundMs, stalenessMs, source }),
        stateGate: new StateGate({
            ...{ clock, boundMs, stalenessMs },
            mayBeOverdue: () => platform().mayBeOverdue,
            onAwaited: () => platform().requestRead(),
            telemetry: new StateGateTelemetry({ log, metrics, stalenessMs, source }),
        }),
    };
};

const sourceOf = ({ clock, polls, instance, platform }: CreateStalenessPartsOptions): StalenessSource => {
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
        overdueReason: platform().overdueReason,
    };
};

const roleName = ({ isReader, isRelay }: Fleet["roles"]): StalenessSource["role"] => {
    if (isReader) {
        return "reader";
    }
    return isRelay ? "relay" : "subscriber";
};
