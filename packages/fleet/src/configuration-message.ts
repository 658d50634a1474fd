/**
 * The configuration in messages between instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Version, VersionSchema } from "@harrierhitch/protocol";
import type { ActiveConfiguration } from "@harrierhitch/published";

/** Returns the version of the active configuration; its number is 0 if there is none. */
export const versionOf = ({ current }: ActiveConfiguration): Version =>
    create(VersionSchema, {
        number: BigInt(current?.configuration.generation ?? 0),
        hash: current?.configuration.hash ?? "",
    });

/** Whether the local version replaces a remote one; at the same generation the lower hash wins. */
export const takesPrecedence = (local: Version, remote: Version | undefined): boolean => {
    if (remote === undefined || local.number !== remote.number) {
        return local.number > (remote?.number ?? 0n);
    }
    return local.hash < remote.hash;
};
