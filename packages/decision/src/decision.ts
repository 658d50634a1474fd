/**
 * The result of a decision.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";

/** Why a candidate was not considered. */
export type Exclusion = "draining" | "ejected" | "resting" | "limited" | "at-limit" | "tried" | "filtered";

/** A policy clause that failed while deciding, and what was done instead. */
export interface PolicyFailure {
    readonly clause: string;
    readonly detail: string;
}

interface DecisionBase {
    /** Why each upstream was left out, in the input's order; `undefined` for a candidate. */
    readonly exclusions: readonly (Exclusion | undefined)[];
    /** Scores that the chooser compared, in the input's order, lower being better. */
    readonly scores: readonly (number | undefined)[];
    /** Set when a clause failed; the decision then followed the safe default. */
    readonly policyFailure: PolicyFailure | undefined;
}

/** The request goes to an upstream. */
export interface ChooseDecision extends DecisionBase {
    readonly action: "choose";
    readonly upstream: UpstreamId;
    readonly chooser: ChooserName;
}

/** The request waits. */
export interface HoldDecision extends DecisionBase {
    readonly action: "hold";
    /** Whether the policy, the limits here, or a rest or a limit of all upstreams that lets it through in time hold it back. */
    readonly cause: "policy" | "at-limit" | "resting" | "limited";
}

/** The request is refused; it has not run. */
export interface RefuseDecision extends DecisionBase {
    readonly action: "refuse";
    readonly cause: "policy" | "no-upstream" | "limited";
    /** Reason for the caller. */
    readonly reason: string;
    /** When coming back makes sense, in milliseconds. */
    readonly retryAfterMs: number;
}

/** The result of a decision. */
export type Decision = ChooseDecision | HoldDecision | RefuseDecision;
