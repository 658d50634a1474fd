/**
 * Which ends of attempts count as failures of the upstream.
 *
 * @packageDocumentation
 */

import type { AttemptEnd } from "@harrierhitch/decision";

/** Ends of attempts that do not count as failures of the upstream. */
const nonFailureEnds: ReadonlySet<AttemptEnd> = new Set<AttemptEnd>([
    "answered",
    "cancelled",
    "withdrawn",
    "path-lost",
    "stalled",
]);

/** Whether an attempt that ended in this way counts as a failure of the upstream. */
export const isUpstreamFailure = (end: AttemptEnd): boolean => !nonFailureEnds.has(end);
