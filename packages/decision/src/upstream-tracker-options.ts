/**
 * Options of a service's beliefs.
 *
 * @packageDocumentation
 */

import { type Clock, SeededRandom } from "@harrierhitch/core";
import { type ColdAdmission, unboundedColdAdmission } from "./cold-admission.js";
import { fullShare, LimitAdmission } from "./limit-admission.js";
import type { UpstreamEntry } from "./tracked-upstream.js";
import type { EstimateOptions, UpstreamEstimate } from "./upstream-estimate.js";
import { UpstreamLimits } from "./upstream-limits.js";
import { UpstreamNotices } from "./upstream-notices.js";

/** Options of `ServiceBeliefs`. */
export interface UpstreamTrackerOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    /** How beliefs change; the defaults suit upstreams with a few slots. */
    readonly belief?: Partial<EstimateOptions>;
    /** Most upstreams that may be ejected at the same time, as a share. */
    readonly maximumEjectedShare?: number;
    /** Told of every change of an upstream's state. */
    readonly onStateChange?: (upstream: UpstreamEntry, before: UpstreamEstimate, after: UpstreamEstimate) => void;
    /** Admits requests to cold upstreams; everything is admitted without it. */
    readonly coldAdmission?: ColdAdmission;
    /** What upstreams told of themselves, shared by all services of an instance, since it outlives entries and services. */
    readonly notices?: UpstreamNotices;
    /** How many requests a second upstreams say that they take, shared in the same way. */
    readonly limits?: UpstreamLimits;
    /** Admits requests to those; without it this instance takes all that they take. */
    readonly limitAdmission?: LimitAdmission;
    /** Told that an upstream said something that other instances should hear at once. */
    readonly onUrgentNotice?: () => void;
}

const defaultEjectedShare = 0.34;

/** The options with defaults for those that are left out. */
export const withDefaults = (options: UpstreamTrackerOptions): Required<Omit<UpstreamTrackerOptions, "belief">> => {
    const { clock } = options;
    const limits = options.limits ?? new UpstreamLimits({ clock, instance: "" });
    return {
        maximumEjectedShare: defaultEjectedShare,
        onStateChange: () => undefined,
        onUrgentNotice: () => undefined,
        coldAdmission: unboundedColdAdmission,
        notices: new UpstreamNotices(options),
        limits,
        limitAdmission: new LimitAdmission({ clock, random: new SeededRandom(1), limits, shareOf: () => fullShare }),
        ...options,
    };
};
