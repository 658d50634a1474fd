/**
 * Entries of the upstream directory.
 *
 * @packageDocumentation
 */

import { type UpstreamId, upstreamId } from "@harrierhitch/core";

/** An entry of the directory as published by the platform or received from another instance. */
export interface DirectoryEntry {
    readonly upstream: UpstreamId;
    /** Revision of the platform at which it was published or removed. */
    readonly revision: number;
    /** Published text; `undefined` if the upstream was removed. */
    readonly text: string | undefined;
    /**
     * Remaining milliseconds for which the sending instance treats a removal as unconfirmed; `undefined` for an entry
     * from the platform, for which this instance determines the time itself.
     */
    readonly unconfirmedMs?: number;
}

/** Creates a directory entry from the fields of a message. */
export const toDirectoryEntry = (
    upstream: string,
    revision: number,
    text: string | undefined,
    unconfirmedMs: number,
): DirectoryEntry => ({
    upstream: upstreamId(upstream),
    revision,
    text,
    unconfirmedMs,
});
