/**
 * Options of the upstream tracker.
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

/** Options of `UpstreamTracker`. */
export interface UpstreamTrackerOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    /** Parameters of estimates; the defaults suit upstreams with a few slots. */
    readonly estimate?: Partial<EstimateOptions>;
    /** Most upstreams that may be ejected at the same time, as a share. */
    readonly maximumEjectedShare?: number;
    readonly onStateChange?: (upstream: UpstreamEntry, before: UpstreamEstimate, after: UpstreamEstimate) => void;
    /** Admits requests to cold upstreams; by default all are admitted. */
    readonly coldAdmission?: ColdAdmission;
    /**
     * Notices of upstreams about themselves, shared by all services of an instance, because they outlive directory entries and
     * services.
     */
    readonly notices?: UpstreamNotices;
    /** Announced rate limits, shared in the same way. */
    readonly limits?: UpstreamLimits;
    /** Admits requests to upstreams with a rate limit; by default this instance uses the full limit. */
    readonly limitAdmission?: LimitAdmission;
    /** Called when an upstream sent a notice that other instances should receive at once. */
    readonly onUrgentNotice?: () => void;
}

const defaultEjectedShare = 0.34;

/** Returns the options with defaults for those that are absent. */
export const withDefaults = (options: UpstreamTrackerOptions): Required<Omit<UpstreamTrackerOptions, "estimate">> => {
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
