/**
 * What an attempt consists of.
 *
 * @packageDocumentation
 */

import type { UpstreamEntry } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { ParsedResponse } from "./header-protocol.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Options of an attempt. */
export interface AttemptOptions {
    readonly services: RequestServices;
    readonly runtime: ServiceRuntime;
    /** The request; the attempt is added to its record. */
    readonly progress: RequestProgress;
    readonly body: RequestBody;
    readonly upstream: UpstreamEntry;
    /** Facts about the upstream when it was selected. */
    readonly selectionFacts: UpstreamFacts | undefined;
    /** Decides whether this attempt may stream its response to the caller. */
    readonly mayStream: (response: ParsedResponse) => boolean;
}
