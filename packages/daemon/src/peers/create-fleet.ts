/**
 * Making this instance's part in the fleet.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { Fleet, type FleetOptions } from "@harrierhitch/fleet";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { Metrics } from "../telemetry/metrics.js";
import { ThresholdLog } from "../telemetry/threshold-log.js";

/** What an instance joins its fleet with: the fleet's options but for those that the settings and the metrics give. */
export interface CreateFleetOptions
    extends Omit<FleetOptions, "fleet" | "address" | "port" | "onExchange" | "onLimited" | "onUnreachable"> {
    readonly settings: NonNullable<Settings["peers"]>;
    readonly metrics: Metrics;
    readonly log: EventLog;
}

/**
 * Exchanges held back within {@link limitedIntervalMs} that are told: half of what one link makes at its limit. Ten within two
 * seconds are usual when entries of many upstreams change at once (7 times on a day of trouble of 13 instances).
 */
const limitedThreshold = 50;
const limitedIntervalMs = 10_000;

/** Makes the fleet's part on one instance. */
export const createFleet = ({ settings, metrics, log, ...options }: CreateFleetOptions): Fleet => {
    const limited = new ThresholdLog({
        clock: options.clock,
        log,
        event: events.exchangesLimited,
        threshold: limitedThreshold,
        intervalMs: limitedIntervalMs,
    });
    return new Fleet({
        ...options,
        fleet: settings.fleet,
        address: settings.address,
        port: settings.port,
        onConfiguration: (source, text) => options.onConfiguration(`instance ${source}`, text),
        onExchange: reason => metrics.peerExchanges.inc({ reason }),
        onLimited: () => {
            metrics.exchangesLimited.inc();
            limited.record();
        },
        onUnreachable: () => metrics.peersUnreachable.inc(),
    });
};
