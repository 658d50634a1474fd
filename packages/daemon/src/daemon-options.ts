/**
 * What a daemon is made with, and where it listens.
 *
 * @packageDocumentation
 */

import type { ServicePolicy, Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Platform, PlatformAdapter } from "./platform/platform.js";
import type { EventLog } from "./telemetry/event-log.js";
import type { Metrics } from "./telemetry/metrics.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Parts of a daemon that can be replaced. */
export interface DaemonOptions {
    readonly settings: Settings;
    readonly clock?: Clock;
    readonly random?: RandomSource;
    /** What the daemon knows of the platform it runs on. */
    readonly adapter?: PlatformAdapter;
    /** Policies that every configuration may name. */
    readonly policies?: ReadonlyMap<string, ServicePolicy>;
    readonly platform?: Platform;
    readonly transport?: UpstreamTransport;
    readonly log?: EventLog;
    readonly metrics?: Metrics;
}

/** The ports on which a daemon listens; 0 for a side that it does not have. */
export interface DaemonPorts {
    readonly callers: number;
    readonly operators: number;
    readonly peers: number;
    readonly ready: number;
}
