/**
 * The result of applying a configuration document.
 *
 * @packageDocumentation
 */

import type { Configuration, Finding } from "@harrierhitch/configuration";

/**
 * The result of applying a configuration document.
 *
 * - `accepted`: The document is now active. `conflict` is set if it replaced a document of the same generation.
 * - `same`: The document is already active.
 * - `older`: Its generation is lower than that of the active configuration, so it is ignored.
 * - `conflict`: It has the generation of the active configuration but a higher hash, so it is ignored.
 * - `invalid`: It does not pass validation.
 */
export type ApplyResult =
    | { readonly type: "accepted"; readonly configuration: Configuration; readonly conflict: boolean; }
    | { readonly type: "same"; }
    | { readonly type: "older"; readonly configuration: Configuration; }
    | { readonly type: "conflict"; readonly configuration: Configuration; }
    | { readonly type: "invalid"; readonly findings: readonly Finding[]; };
