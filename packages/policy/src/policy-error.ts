/**
 * Errors from checking and evaluating policies.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import type { ClauseName } from "./clause.js";

/** A clause did not pass the check of its policy. */
export class PolicyCheckError extends HarrierhitchError {
    readonly code = "policy-check";

    /**
     * @param policy - Name of the policy.
     * @param clause - The invalid clause.
     * @param detail - Reason why the clause is invalid.
     */
    constructor(readonly policy: string, readonly clause: ClauseName, readonly detail: string) {
        super(`policy ${policy}, clause ${clause}: ${detail}`);
    }
}

/** The evaluation of a clause failed. */
export class PolicyRunError extends HarrierhitchError {
    readonly code = "policy-run";

    /**
     * @param policy - Name of the policy.
     * @param clause - The clause that failed.
     * @param detail - Reason of the failure.
     */
    constructor(readonly policy: string, readonly clause: ClauseName, readonly detail: string) {
        super(`policy ${policy}, clause ${clause}: ${detail}`);
    }
}
