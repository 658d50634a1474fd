/**
 * Upstreams as configured or listed.
 *
 * @packageDocumentation
 */

import type { ServiceName, UpstreamId } from "@harrierhitch/core";

/** One start of a server that answers requests of a service. */
export interface Upstream {
    readonly id: UpstreamId;
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
    /** Requests that it serves at the same time. */
    readonly slots: number;
}

/** An upstream that is listed apart from the configuration and comes and goes by itself. */
export interface DiscoveredUpstream extends Upstream {
    readonly service: ServiceName;
    /** Whether it has said that it leaves. */
    readonly draining: boolean;
    /** Time for which it still answers slowly, counted from the moment it was listed. */
    readonly coldMs: number;
    /** When this start of it began, in milliseconds since the Unix epoch; 0 when it does not say. */
    readonly startedAtMs: number;
}
