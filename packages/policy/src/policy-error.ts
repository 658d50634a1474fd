/**
 * Errors of policies.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import type { ClauseName } from "./clause.js";

/** A clause that was rejected when the policy was checked. */
export class PolicyCheckError extends HarrierhitchError {
    readonly code = "policy-check";

    /**
     * @param policy - Name of the policy.
     * @param clause - The clause that was rejected.
     * @param detail - What is wrong with it.
     */
    constructor(readonly policy: string, readonly clause: ClauseName, readonly detail: string) {
        super(`policy ${policy}, clause ${clause}: ${detail}`);
    }
}

/** A clause that failed while it was evaluated. */
export class PolicyRunError extends HarrierhitchError {
    readonly code = "policy-run";

    /**
     * @param policy - Name of the policy.
     * @param clause - The clause that failed.
     * @param detail - Why it failed.
     */
    constructor(readonly policy: string, readonly clause: ClauseName, readonly detail: string) {
        super(`policy ${policy}, clause ${clause}: ${detail}`);
    }
}
