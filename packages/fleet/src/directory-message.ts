/**
 * The upstream directory in messages between instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Directory, DirectorySchema, ListingSchema, ZoneListingSchema } from "@harrierhitch/protocol";
import { type DirectoryUpdate, toDirectoryEntry, type UpstreamDirectory } from "@harrierhitch/published";

/**
 * Encodes the changes of a directory after a revision.
 *
 * @param directory - The directory.
 * @param stalenessMs - Staleness of the directory in milliseconds; `undefined` if it was never confirmed.
 * @param sinceRevision - Revision of the receiver; infinite to send only the revision and the staleness.
 */
export const encodeDirectory = (
    directory: UpstreamDirectory,
    stalenessMs: number | undefined,
    sinceRevision: number,
): Directory => {
    const header = { revision: BigInt(directory.revision), ageMs: stalenessMs ?? -1 };
    if (directory.revision <= sinceRevision) {
        // Not a delta: the message may reach a successor of the receiver, which has none of the changes before.
        return create(DirectorySchema, header);
    }
    const { isSnapshot, sinceRevision: since = 0, entries, zones } = directory.updatesSince(sinceRevision);
    return create(DirectorySchema, {
        ...header,
        whole: isSnapshot,
        complete: true,
        since: BigInt(since),
        listings: entries.map(({ upstream, revision, text, unconfirmedMs = 0 }) =>
            create(ListingSchema, {
                upstream,
                revision: BigInt(revision),
                text: text ?? "",
                removed: text === undefined,
                doubtedMs: unconfirmedMs,
            })
        ),
        zones: zones.map(({ availabilityZone, revision, isOut }) =>
            create(ZoneListingSchema, { availabilityZone, revision: BigInt(revision), outOfService: isOut })
        ),
    });
};

/** Whether a message changes the directory of its receiver, apart from the revision. */
export const hasChanges = ({ whole, listings, zones }: Directory): boolean => whole || listings.length > 0 || zones.length > 0;

/** Decodes the directory of another instance; `undefined` if the message holds only its revision and staleness. */
export const decodeDirectory = ({ complete, revision, since, whole, listings, zones }: Directory): DirectoryUpdate | undefined =>
    complete
        ? {
            revision: Number(revision),
            sinceRevision: Number(since),
            isSnapshot: whole,
            entries: listings.map(({ upstream, revision: entryRevision, text, removed, doubtedMs }) =>
                toDirectoryEntry(upstream, Number(entryRevision), removed ? undefined : text, doubtedMs)
            ),
            zones: zones.map(({ availabilityZone, revision: zoneRevision, outOfService }) => ({
                availabilityZone,
                revision: Number(zoneRevision),
                isOut: outOfService,
            })),
        }
        : undefined;
