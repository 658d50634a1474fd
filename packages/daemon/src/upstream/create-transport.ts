/**
 * Creates the transport of a daemon.
 *
 * @packageDocumentation
 */

import { createDetours, type CreateDetoursOptions } from "../detour/create-detours.js";
import type { EventLog } from "../telemetry/event-log.js";
import type { Metrics } from "../telemetry/metrics.js";
import { PathTelemetry } from "../telemetry/path-telemetry.js";
import { Reachability } from "./reachability.js";
import { RoutedTransport } from "./routed-transport.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Options of {@link createTransport}. */
export interface CreateTransportOptions extends CreateDetoursOptions {
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/**
 * Creates a transport that monitors the paths to upstreams and takes detours where they are lost.
 *
 * @param direct - Sends over connections of this instance.
 * @param options - Settings, log, metrics and the fleet.
 */
export const createTransport = (direct: UpstreamTransport, options: CreateTransportOptions): RoutedTransport => {
    const { clock, random, log, metrics } = options;
    const telemetry = new PathTelemetry(log, metrics);
    const reachability = new Reachability({
        clock,
        random,
        checkPort: upstream => direct.checkPort(upstream),
        onChange: change => {
            telemetry.reachabilityChanged(change);
            // Connections that carry nothing would take requests again after the path has returned.
            change.upstreams.forEach(upstream => change.isReachable ? undefined : direct.closeIdle(upstream));
        },
    });
    return new RoutedTransport({ clock, direct, reachability, detours: createDetours(options) });
};
