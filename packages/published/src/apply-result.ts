/**
 * The result of offering a configuration document.
 *
 * @packageDocumentation
 */

import type { Configuration, Finding } from "@harrierhitch/configuration";

/**
 * What became of an offered document.
 *
 * - `accepted`: it is now in force.
 * - `same`: it is in force already.
 * - `older`: its generation is below the one in force; it is never taken.
 * - `conflict`: same generation as the one in force but other content, and it lost.
 * - `invalid`: it does not pass the checks.
 */
export type ApplyResult =
    | { readonly type: "accepted"; readonly configuration: Configuration; readonly conflict: boolean; }
    | { readonly type: "same"; }
    | { readonly type: "older"; readonly configuration: Configuration; }
    | { readonly type: "conflict"; readonly configuration: Configuration; }
    | { readonly type: "invalid"; readonly findings: readonly Finding[]; };
