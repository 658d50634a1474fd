/**
 * The directory of listed upstreams of one instance.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@harrierhitch/configuration";
import { UpstreamDirectory, type UpstreamDirectoryOptions } from "@harrierhitch/published";
import type { InstanceParts } from "./instance-parts.js";
import { events } from "./telemetry/event.js";

/**
 * Opens the directory by the platform's syntax; listings that cannot be read are logged.
 *
 * @param parts - Parts of the instance.
 * @param listeners - Who is told of changes.
 */
export const createDirectory = (
    { clock, parser: syntax, log, metrics, removalGraceMs: doubtfulMs }: Pick<
        InstanceParts,
        "clock" | "parser" | "log" | "metrics" | "removalGraceMs"
    >,
    listeners: Pick<UpstreamDirectoryOptions, "onChange" | "onZoneChange" | "onRemovalConfirmed">,
): UpstreamDirectory =>
    new UpstreamDirectory({
        ...listeners,
        clock,
        removalGraceMs: doubtfulMs,
        read: (id, text) => syntax.parseUpstream(id, text),
        onInvalid: (id, findings, revision) => {
            metrics.invalidEntries.inc();
            log.write(events.listingInvalid, { upstream: id, revision, findings: findings.map(formatFinding) });
        },
    });
