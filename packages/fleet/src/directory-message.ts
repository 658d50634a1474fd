/**
 * The directory of listed upstreams as instances tell it to each other.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Directory, DirectorySchema, ListingSchema, ZoneListingSchema } from "@harrierhitch/protocol";
import { type DirectoryUpdate, toDirectoryEntry, type UpstreamDirectory } from "@harrierhitch/published";

/**
 * Writes what an instance lacks of a directory.
 *
 * @param directory - The directory.
 * @param ageMs - How old what it knows is; `undefined` when that is not known.
 * @param revision - What the other instance knows; infinite tells the revision only.
 */
export const encodeDirectory = (directory: UpstreamDirectory, ageMs: number | undefined, revision: number): Directory => {
    const known = { revision: BigInt(directory.revision), ageMs: ageMs ?? -1 };
    if (directory.revision <= revision) {
        return create(DirectorySchema, { ...known, complete: revision < Infinity });
    }
    const { isSnapshot: whole, entries: listings, zones } = directory.updatesSince(revision);
    return create(DirectorySchema, {
        ...known,
        whole,
        complete: true,
        listings: listings.map(({ upstream, revision: at, text, unconfirmedMs: doubtedMs = 0 }) =>
            create(ListingSchema, {
                upstream,
                revision: BigInt(at),
                text: text ?? "",
                removed: text === undefined,
                doubtedMs,
            })
        ),
        zones: zones.map(({ availabilityZone, revision: at, isOut }) =>
            create(ZoneListingSchema, { availabilityZone, revision: BigInt(at), outOfService: isOut })
        ),
    });
};

/** Reads what another instance told of its directory; `undefined` when it told its revision only. */
export const decodeDirectory = ({ complete, revision, whole, listings, zones }: Directory): DirectoryUpdate | undefined =>
    complete
        ? {
            revision: Number(revision),
            isSnapshot: whole,
            entries: listings.map(({ upstream, revision: at, text, removed, doubtedMs }) =>
                toDirectoryEntry(upstream, Number(at), removed ? undefined : text, doubtedMs)
            ),
            zones: zones.map(({ availabilityZone, revision: at, outOfService }) => ({
                availabilityZone,
                revision: Number(at),
                isOut: outOfService,
            })),
        }
        : undefined;
