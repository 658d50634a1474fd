/**
 * The version of the program.
 *
 * @packageDocumentation
 */

import { createRequire } from "node:module";

/** Version from the manifest of this package. */
export const version: string = (createRequire(import.meta.url)("../../package.json") as { version: string; }).version;
