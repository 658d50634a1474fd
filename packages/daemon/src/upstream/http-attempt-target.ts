/**
 * Where an attempt connects to.
 *
 * @packageDocumentation
 */

import type { UpstreamEchoes } from "./connection-use.js";

/** Where an attempt connects to. */
export interface HttpAttemptTarget {
    readonly address: string;
    readonly port: number;
    readonly connectTimeoutMs: number;
    readonly echoes: UpstreamEchoes;
}
