/**
 * Configured and discovered upstreams.
 *
 * @packageDocumentation
 */

import type { ServiceName, UpstreamId } from "@harrierhitch/core";

/** A server that handles requests of a service. */
export interface Upstream {
    readonly id: UpstreamId;
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Requests that it serves concurrently. */
    readonly slots: number;
}

/** An upstream from service discovery, which is published separately from the configuration. */
export interface DiscoveredUpstream extends Upstream {
    readonly service: ServiceName;
    /** Whether the upstream has announced that it is shutting down. */
    readonly draining: boolean;
    /** Duration of the cold start in milliseconds, counted from the publication of the entry. */
    readonly coldMs: number;
    /** Start time of this incarnation in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
}
