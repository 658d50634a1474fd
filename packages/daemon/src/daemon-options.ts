/**
 * Options and ports of a daemon.
 *
 * @packageDocumentation
 */

import type { ServicePolicy, Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Platform, PlatformAdapter } from "./platform/platform.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Options of a daemon; parts that are left out get their production implementation. */
export interface DaemonOptions {
    readonly settings: Settings;
    readonly clock?: Clock;
    readonly random?: RandomSource;
    /** Integration with the platform on which the daemon runs. */
    readonly adapter?: PlatformAdapter;
    /** Policies that any configuration can refer to by name. */
    readonly policies?: ReadonlyMap<string, ServicePolicy>;
    readonly platform?: Platform;
    readonly transport?: UpstreamTransport;
    readonly log?: EventLog;
    readonly metrics?: Metrics;
}

/** Ports on which a daemon listens; 0 for an endpoint that is disabled. */
export interface DaemonPorts {
    readonly callers: number;
    readonly operators: number;
    readonly peers: number;
    readonly ready: number;
}
