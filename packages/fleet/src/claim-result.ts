/**
 * The result of claiming a keyed request.
 *
 * @packageDocumentation
 */

import type { KeyedResult } from "./answer-shelf.js";

/** The result of a claim. */
export type ClaimResult =
    /** The request may run here, once; `Claimer.finish` must follow. */
    | { readonly type: "granted"; readonly claimId: string; }
    /** Another sending of the key ran, and this is what became of it. */
    | { readonly type: "ended"; readonly result: KeyedResult; }
    /** This sending was not run, and it cannot be told whether another was. */
    | { readonly type: "unknown"; readonly detail: string; }
    /** This sending was not run, and no other holds the key. */
    | { readonly type: "not-run"; readonly detail: string; }
    /** The key belongs to another request; this one was not run. */
    | { readonly type: "mismatch"; };
