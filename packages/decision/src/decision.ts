/**
 * The result of a decision.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";

/** Why an upstream was not a candidate. */
export type Exclusion = "draining" | "ejected" | "resting" | "limited" | "at-limit" | "tried" | "filtered" | "reserved";

/** A policy clause that failed during the decision. */
export interface PolicyFailure {
    readonly clause: string;
    readonly detail: string;
}

interface DecisionBase {
    /** Why each upstream was excluded, in the input's order; `undefined` for a candidate. */
    readonly exclusions: readonly (Exclusion | undefined)[];
    /** Scores that the chooser compared, in the input's order; lower is better. */
    readonly scores: readonly (number | undefined)[];
    /** Set when a clause failed; the decision then ignored the policy. */
    readonly policyFailure: PolicyFailure | undefined;
}

/** The request is sent to an upstream. */
export interface ChooseDecision extends DecisionBase {
    readonly action: "choose";
    readonly upstream: UpstreamId;
    readonly chooser: ChooserName;
}

/** The request waits. */
export interface HoldDecision extends DecisionBase {
    readonly action: "hold";
    /**
     * Why it waits: because of the policy, because the upstreams are at their limit for this instance, or until the backoff
     * (`resting`) or the rate limit (`limited`) of an upstream permits it.
     */
    readonly cause: "policy" | "at-limit" | "resting" | "limited";
}

/** The request is refused; it has not run. */
export interface RefuseDecision extends DecisionBase {
    readonly action: "refuse";
    readonly cause: "policy" | "no-upstream" | "limited";
    /** Reason for the caller. */
    readonly reason: string;
    /** Time after which the caller should retry, in milliseconds. */
    readonly retryAfterMs: number;
}

export type Decision = ChooseDecision | HoldDecision | RefuseDecision;
