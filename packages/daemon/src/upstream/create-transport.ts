/**
 * Creates the transport of a daemon.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { EventLog } from "../telemetry/event-log.js";
import type { Metrics } from "../telemetry/metrics.js";
import { PathTelemetry } from "../telemetry/path-telemetry.js";
import { MonitoredTransport } from "./monitored-transport.js";
import { Reachability } from "./reachability.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Options of {@link createTransport}. */
export interface CreateTransportOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/**
 * Creates a transport that monitors the paths to upstreams.
 *
 * @param direct - Sends over connections of this instance.
 * @param options - Clock, random numbers, log and metrics.
 */
export const createTransport = (direct: UpstreamTransport, options: CreateTransportOptions): UpstreamTransport => {
    const { clock, random, log, metrics } = options;
    const telemetry = new PathTelemetry(log, metrics);
    const reachability = new Reachability({
        clock,
        random,
        checkPort: upstream => direct.checkPort(upstream),
        onChange: change => telemetry.reachabilityChanged(change),
    });
    return new MonitoredTransport({ clock, direct, reachability });
};
