/**
 * Changes of which upstreams this instance can reach.
 *
 * @packageDocumentation
 */

import type { ServiceName, UpstreamId } from "@harrierhitch/core";
import type { PortState } from "./check-port.js";
import type { Path } from "./path.js";

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

/** What a {@link ReachabilityChange} states besides the paths. */
export interface ChangeContext extends Pick<ReachabilityChange, "isReachable" | "checks"> {
    readonly nowMs: number;
}

/**
 * Describes a change.
 *
 * @param service - The service.
 * @param paths - The paths that were lost or regained.
 * @param all - All paths to their service.
 * @param context - What the change was concluded from, and when.
 */
export const toReachabilityChange = (
    service: ServiceName,
    paths: readonly Path[],
    all: readonly Path[],
    { isReachable, checks, nowMs }: ChangeContext,
): ReachabilityChange => {
    const respondedAtMs = Math.max(...all.map(path => path.respondedAtMs));
    return {
        service,
        upstreams: paths.map(({ upstream }) => upstream.id),
        isReachable,
        unreachable: all.filter(path => !path.isReachable).length,
        total: all.length,
        checks,
        quietMs: respondedAtMs === -Infinity ? undefined : nowMs - respondedAtMs,
    };
};
