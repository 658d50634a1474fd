/**
 * Making this instance's part in the fleet.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { Fleet, type FleetOptions } from "@harrierhitch/fleet";
import type { Metrics } from "../telemetry/metrics.js";

/** What an instance joins its fleet with: the fleet's options but for those that the settings and the metrics give. */
export interface JoinFleetOptions
    extends Omit<FleetOptions, "fleet" | "address" | "port" | "onExchange" | "onLimited" | "onUnreachable"> {
    readonly settings: NonNullable<Settings["peers"]>;
    readonly metrics: Metrics;
}

/** Makes the fleet's part on one instance. */
export const joinFleet = ({ settings, metrics, ...options }: JoinFleetOptions): Fleet =>
    new Fleet({
        ...options,
        fleet: settings.fleet,
        address: settings.address,
        port: settings.port,
        onConfiguration: (source, text) => options.onConfiguration(`instance ${source}`, text),
        onExchange: reason => metrics.peerExchanges.inc({ reason }),
        onLimited: () => metrics.peersLimited.inc(),
        onUnreachable: () => metrics.peersUnreachable.inc(),
    });
