/**
 * Options of a service's beliefs.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Belief, BeliefOptions } from "./belief.js";
import type { ColdAdmission } from "./cold-admission.js";
import type { KnownUpstream } from "./tracked-upstream.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Options of `ServiceBeliefs`. */
export interface ServiceBeliefsOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    /** How beliefs change; the defaults suit upstreams with a few slots. */
    readonly belief?: Partial<BeliefOptions>;
    /** Most upstreams that may be ejected at the same time, as a share. */
    readonly maximumEjectedShare?: number;
    /** Told of every change of an upstream's state. */
    readonly onStateChange?: (upstream: KnownUpstream, before: Belief, after: Belief) => void;
    /** Admits requests to cold upstreams; everything is admitted without it. */
    readonly coldAdmission?: ColdAdmission;
    /** What upstreams told of themselves, shared by all services of an instance, since it outlives entries and services. */
    readonly notices?: UpstreamNotices;
}
