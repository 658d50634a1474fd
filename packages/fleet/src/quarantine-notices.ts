/**
 * Notices of local quarantines to instances that wait in a long poll.
 *
 * @packageDocumentation
 */

import type { CrashHistory } from "@harrierhitch/decision";

/** Remembers which quarantines ended a long poll of an instance, so that each ends one at most. */
export class QuarantineNotices {
    /** Quarantines that each instance lacked when its long poll was last answered at once because of them. */
    private readonly notified = new Map<string, string>();

    /** @param crashes - The local quarantines. */
    constructor(private readonly crashes: Pick<CrashHistory, "missingQuarantines">) {}

    /**
     * Whether an instance lacks a local quarantine that did not end one of its long polls before.
     *
     * @param instance - The instance.
     * @param remoteQuarantines - The requests that it quarantines.
     */
    isDue(instance: string, remoteQuarantines: readonly string[]): boolean {
        const missing = [...this.crashes.missingQuarantines(remoteQuarantines)].sort().join();
        const isNew = missing !== "" && this.notified.get(instance) !== missing;
        if (isNew) {
            this.notified.set(instance, missing);
        }
        return isNew;
    }
}
