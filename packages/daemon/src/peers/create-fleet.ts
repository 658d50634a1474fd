/**
 * Creates this instance's fleet membership.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { Fleet, type FleetOptions } from "@harrierhitch/fleet";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { Metrics } from "../telemetry/metrics.js";
import { ThresholdLog } from "../telemetry/threshold-log.js";

/** Fleet options, except those that are derived from settings and metrics. */
export interface CreateFleetOptions
    extends Omit<FleetOptions, "fleet" | "address" | "port" | "onExchange" | "onLimited" | "onUnreachable"> {
    readonly settings: NonNullable<Settings["peers"]>;
    readonly metrics: Metrics;
    readonly log: EventLog;
}

/** Delayed exchanges within {@link limitedIntervalMs} from which they are logged; bursts below it are normal. */
const limitedThreshold = 50;
const limitedIntervalMs = 10_000;

/** Creates the fleet membership of an instance. */
export const createFleet = ({ settings, metrics, log, ...options }: CreateFleetOptions): Fleet => {
    const limitedLog = new ThresholdLog({
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
            limitedLog.record();
        },
        onUnreachable: () => metrics.peersUnreachable.inc(),
    });
};
