/**
 * The result of a decision.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";

/** Why a candidate was not considered. */
export type Exclusion = "draining" | "ejected" | "at-limit" | "tried" | "filtered";

/** What was found of one upstream while deciding. */
export interface CandidateVerdict {
    readonly id: string;
    /** Why it was left out; `undefined` for a candidate. */
    readonly excluded: Exclusion | undefined;
    /** Score that the chooser compared, lower being better; `undefined` when it compared none. */
    readonly score: number | undefined;
}

/** A policy clause that failed while deciding, and what was done instead. */
export interface PolicyFailure {
    readonly clause: string;
    readonly detail: string;
}

interface DecisionBase {
    readonly verdicts: readonly CandidateVerdict[];
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
    /** Whether the policy or the limits hold it back. */
    readonly cause: "policy" | "at-limit";
}

/** The request is refused; it has not run. */
export interface RefuseDecision extends DecisionBase {
    readonly action: "refuse";
    readonly cause: "policy" | "no-upstream";
    /** Reason for the caller. */
    readonly reason: string;
    /** When coming back makes sense, in milliseconds. */
    readonly retryAfterMs: number;
}

/** The result of a decision. */
export type Decision = ChooseDecision | HoldDecision | RefuseDecision;
