/**
 * What requests have in common.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";

/**
 * Some of the traits caller, query and body: bits 1, 2 and 4. The method, the host and the path always count.
 */
export type AttributeMask = number;

/** Caller, query and body. */
export const allTraits: AttributeMask = 7;

/** Every set of traits, from the narrowest to the widest. */
export const traitSets: readonly AttributeMask[] = [7, 6, 5, 3, 4, 2, 1, 0];

/** Requests that agree in some traits: a key in which the others are blanked out. */
export type RequestSignature = string;

const pathDigits = 16;
const traitDigits = 8;
const blank = "-".repeat(traitDigits);
const traits: readonly AttributeMask[] = [1, 2, 4];

/** The part of a key that stands for the method, the host and the path. */
export const pathPartOf = (key: RequestKey): string => key.slice(0, pathDigits);

const traitPartOf = (key: RequestKey, index: number): string =>
    key.slice(pathDigits + index * traitDigits, pathDigits + (index + 1) * traitDigits);

/** The requests that agree with one in its path and in some traits. */
export const signatureOf = (key: RequestKey, set: AttributeMask): RequestSignature =>
    pathPartOf(key) + traits.map((trait, index) => (set & trait) === 0 ? blank : traitPartOf(key, index)).join("");

/** Whether a request has in common what a pattern stands for; most differ in their paths, which is found out first. */
export const matches = (key: RequestKey, pattern: RequestSignature): boolean =>
    pattern.startsWith(pathPartOf(key)) && traitSets.some(set => signatureOf(key, set) === pattern);

/** Whether requests differ in every trait that a set leaves out, so that none of these is what they have in common. */
export const differInOthers = (keys: readonly RequestKey[], set: AttributeMask): boolean =>
    traits.every((trait, index) => (set & trait) !== 0 || new Set(keys.map(key => traitPartOf(key, index))).size > 1);

/** The traits in which two requests of one path agree. */
const agreementOf = (a: RequestKey, b: RequestKey): AttributeMask =>
    traits.reduce((sum, trait, index) => traitPartOf(a, index) === traitPartOf(b, index) ? sum | trait : sum, 0);

/** For each set of traits the sets within it, as bits: looked up, because it is asked for each answer on a suspect's path. */
const setsWithin: readonly number[] = traitSets.toSorted((a, b) => a - b).map(outer =>
    traitSets.filter(inner => (inner & outer) === inner).reduce((bits, inner) => bits | 1 << inner, 0)
);

/**
 * Every set of traits in which two requests of one path agree, as bits: bit `n` stands for the set `n`.
 *
 * @param a - One request.
 * @param b - The other one.
 * @returns The bits.
 */
export const agreeingSets = (a: RequestKey, b: RequestKey): number => setsWithin[agreementOf(a, b)] ?? 0;
