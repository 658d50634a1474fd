/**
 * The version of the daemon.
 *
 * @packageDocumentation
 */

import { createRequire } from "node:module";

/** Version of this package, as its manifest says. */
export const version: string = (createRequire(import.meta.url)("../../package.json") as { version: string; }).version;
