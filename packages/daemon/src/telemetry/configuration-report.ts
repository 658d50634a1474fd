/**
 * Log events and metrics of configurations that an instance has received.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@harrierhitch/configuration";
import type { Generation } from "@harrierhitch/core";
import type { ApplyResult, RejectedConfiguration } from "@harrierhitch/published";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** The result of applying a configuration. */
export interface ConfigurationReport {
    /** Where the document comes from. */
    readonly source: string;
    readonly result: ApplyResult;
    /** The generation that was active before. */
    readonly before: Generation | undefined;
    /** Staleness of the state before, in milliseconds: the document was published at most that long ago. */
    readonly stalenessMs: number;
    /** Time that validating and applying it took, in milliseconds. */
    readonly tookMs: number;
    /** The newest configuration, if it is rejected now. */
    readonly rejection: RejectedConfiguration | undefined;
}

/** Counts and logs the result of applying a configuration. */
export const reportConfiguration = (
    log: EventLog,
    metrics: Metrics,
    { source, result, before, rejection, stalenessMs, tookMs }: ConfigurationReport,
): void => {
    metrics.rejected.set(rejection === undefined ? 0 : 1);
    switch (result.type) {
        case "accepted":
            metrics.generation.set(result.configuration.generation);
            log.write(events.configurationAccepted, {
                source,
                generation: result.configuration.generation,
                before,
                stalenessMs: Number.isFinite(stalenessMs) ? Math.round(stalenessMs) : undefined,
                tookMs: Math.round(tookMs),
            });
            break;
        case "older":
            log.write(events.configurationOlder, { source, generation: result.configuration.generation, inForce: before });
            break;
        case "invalid":
            metrics.configurationsRejected.inc({ source: source === "platform" ? source : "instance" });
            log.write(events.configurationInvalid, {
                source,
                findings: result.findings.map(formatFinding),
                inForce: before,
            });
            break;
    }
    if (result.type === "conflict" || result.type === "accepted" && result.conflict) {
        const { generation, hash } = result.configuration;
        log.write(events.configurationConflict, { source, generation, hash, taken: result.type === "accepted" });
    }
};
