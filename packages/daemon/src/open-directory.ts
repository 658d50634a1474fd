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
export const openDirectory = (
    { clock, syntax, log, metrics, doubtfulMs }: Pick<InstanceParts, "clock" | "syntax" | "log" | "metrics" | "doubtfulMs">,
    listeners: Pick<UpstreamDirectoryOptions, "onChange" | "onZone" | "onDoubtEnded">,
): UpstreamDirectory =>
    new UpstreamDirectory({
        ...listeners,
        clock,
        doubtfulMs,
        read: (id, text) => syntax.upstream(id, text),
        onInvalid: (id, findings, revision) => {
            metrics.listingsInvalid.inc();
            log.write(events.listingInvalid, { upstream: id, revision, findings: findings.map(formatFinding) });
        },
    });
