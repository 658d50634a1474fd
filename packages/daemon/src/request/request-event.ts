/**
 * Events that a request handles while its attempts run.
 *
 * @packageDocumentation
 */

import type { AttemptReport } from "./attempt-report.js";
import type { AttemptTask } from "./attempt-task.js";

/** An event of a request with running attempts. */
export type RequestEvent =
    | { readonly type: "ended"; readonly task: AttemptTask; readonly report: AttemptReport; }
    /** The hedge interval has passed without a response. */
    | { readonly type: "hedge-due"; }
    /** The deadline has passed. */
    | { readonly type: "expired"; };
