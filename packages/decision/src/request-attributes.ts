/**
 * The attributes by which requests are grouped.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";

/**
 * A set of the attributes caller, query and body, as the bits 1, 2 and 4. The method, the host and the path are always
 * included.
 */
export type AttributeMask = number;

/** Caller, query and body. */
export const allAttributes: AttributeMask = 7;

/** Every mask, from the most specific to the least specific. */
export const attributeMasks: readonly AttributeMask[] = [7, 6, 5, 3, 4, 2, 1, 0];

/** Identifies requests that have some attributes in common: a key in which the other attributes are blank. */
export type RequestSignature = string;

const pathDigits = 16;
const attributeDigits = 8;
const blank = "-".repeat(attributeDigits);
const attributes: readonly AttributeMask[] = [1, 2, 4];

/** Returns the part of a key that stands for the method, the host and the path. */
export const pathPartOf = (key: RequestKey): string => key.slice(0, pathDigits);

const attributePartOf = (key: RequestKey, index: number): string =>
    key.slice(pathDigits + index * attributeDigits, pathDigits + (index + 1) * attributeDigits);

/** Returns the signature of the requests that equal this one in its path and some attributes. */
export const signatureOf = (key: RequestKey, mask: AttributeMask): RequestSignature =>
    pathPartOf(key)
    + attributes.map((attribute, index) => (mask & attribute) === 0 ? blank : attributePartOf(key, index)).join("");

/** Whether a request matches a signature. Compares the path first, because most requests differ in it. */
export const matches = (key: RequestKey, signature: RequestSignature): boolean =>
    signature.startsWith(pathPartOf(key)) && attributeMasks.some(mask => signatureOf(key, mask) === signature);

/** Whether requests differ in every attribute outside a mask, so that none of these is common to them. */
export const differOutside = (keys: readonly RequestKey[], mask: AttributeMask): boolean =>
    attributes.every((attribute, index) =>
        (mask & attribute) !== 0 || new Set(keys.map(key => attributePartOf(key, index))).size > 1
    );

/** Returns the attributes in which two requests of one path are equal. */
const commonAttributes = (a: RequestKey, b: RequestKey): AttributeMask =>
    attributes.reduce(
        (sum, attribute, index) => attributePartOf(a, index) === attributePartOf(b, index) ? sum | attribute : sum,
        0,
    );

/** For each mask the masks within it, as bits; precomputed, because it is needed for each response on a suspect path. */
const masksWithin: readonly number[] = attributeMasks.toSorted((a, b) => a - b).map(outer =>
    attributeMasks.filter(inner => (inner & outer) === inner).reduce((bits, inner) => bits | 1 << inner, 0)
);

/**
 * Returns every mask in which two requests of one path are equal, as bits: bit `n` stands for the mask `n`.
 *
 * @param a - One request.
 * @param b - The other request.
 * @returns The bits.
 */
export const commonMasks = (a: RequestKey, b: RequestKey): number => masksWithin[commonAttributes(a, b)] ?? 0;
