/**
 * Changes of which upstreams this instance can reach.
 *
 * @packageDocumentation
 */

import type { ServiceName, UpstreamId } from "@harrierhitch/core";
import type { PortState } from "./check-port.js";

/** A check whether an upstream accepts connections of this instance. */
export interface PathCheck {
    readonly upstream: UpstreamId;
    readonly state: PortState;
}

/** Upstreams of a service became unreachable from this instance, or reachable again. */
export interface ReachabilityChange {
    readonly service: ServiceName;
    readonly upstreams: readonly UpstreamId[];
    readonly isReachable: boolean;
    /** Number of upstreams of the service that are unreachable now, and of all. */
    readonly unreachable: number;
    readonly total: number;
    /** The checks that led to the conclusion. */
    readonly checks: readonly PathCheck[];
    /** Milliseconds since the last response of any upstream of the service; `undefined` without one. */
    readonly quietMs: number | undefined;
}
