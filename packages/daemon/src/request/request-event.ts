/**
 * What happens to a request while its attempts run.
 *
 * @packageDocumentation
 */

import type { AttemptReport } from "./attempt-task.js";

/** What a request that waits for its attempts can be told. */
export type RequestEvent =
    | { readonly type: "ended"; readonly report: AttemptReport; }
    /** The first attempt takes long: a second one may begin. */
    | { readonly type: "slow"; }
    | { readonly type: "expired"; }
    | { readonly type: "caller-left"; };
