/**
 * The configuration as instances tell it to each other.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Document, DocumentSchema, type Version, VersionSchema } from "@harrierhitch/protocol";
import type { ActiveConfiguration } from "@harrierhitch/published";

/** The version of the configuration in force; number 0 without one. */
export const versionOf = ({ current: inForce }: ActiveConfiguration): Version =>
    create(VersionSchema, {
        number: BigInt(inForce?.configuration.generation ?? 0),
        hash: inForce?.configuration.hash ?? "",
    });

/** The configuration, if another instance lacks it by the version it told. */
export const missingDocuments = (accepted: ActiveConfiguration, other: Version | undefined): Document[] => {
    const { current: inForce } = accepted;
    const version = versionOf(accepted);
    return inForce !== undefined && isAhead(version, other)
        ? [create(DocumentSchema, { version, text: inForce.text })]
        : [];
};

/** Of two contents under one generation the lower hash wins. */
const isAhead = (own: Version, other: Version | undefined): boolean => {
    if (other === undefined || own.number !== other.number) {
        return own.number > (other?.number ?? 0n);
    }
    return own.hash < other.hash;
};
