/**
 * Quarantines that were added since the last look.
 *
 * @packageDocumentation
 */

import type { CrashHistory } from "@harrierhitch/decision";

/** Detects new local quarantines. */
export class NewQuarantines {
    private known: ReadonlySet<string> = new Set();

    /** @param crashes - The local quarantines. */
    constructor(private readonly crashes: Pick<CrashHistory, "quarantined">) {}

    /** Returns whether a request has been quarantined since the last call. */
    take(): boolean {
        const current = new Set<string>(this.crashes.quarantined);
        const isNew = [...current].some(signature => !this.known.has(signature));
        this.known = current;
        return isNew;
    }
}
