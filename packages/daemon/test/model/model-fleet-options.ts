/**
 * Size and behaviour of a simulated fleet.
 */

import type { ModelUpstreamOptions } from "./model-upstream.js";

/** Size and behaviour of the simulated fleet. */
export interface ModelFleetOptions {
    readonly instances: number;
    readonly upstreams: number;
    readonly upstream: Omit<ModelUpstreamOptions, "clock" | "random">;
    /** Availability zone of an upstream; default `zone`, in which all instances are. */
    readonly upstreamZone?: (index: number) => string;
    readonly targetMs: number;
    readonly callerTimeoutMs: number;
    /** Replaces the deployed policies. */
    readonly policies?: string;
    readonly seed?: number;
    /** Skew of the callers' distribution over the instances: 1 is even, 2 gives the first tenth of the instances a third. */
    readonly skew?: number;
    /** Time to open a connection to an upstream, in milliseconds. */
    readonly connectMs?: number;
    /** Whether the instances have no configuration before `ModelFleet.publish`. */
    readonly startsUnconfigured?: boolean;
    /** Bound of the age of the published state, in milliseconds; none by default. */
    readonly boundMs?: number;
    /** Further keys of the section `budgets` of the instances' settings. */
    readonly budgetSettings?: string;
    /** Whether the instances join a fleet; otherwise each works alone. */
    readonly isJoined?: boolean;
}
