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
    { clock, syntax, log, doubtfulMs }: Pick<InstanceParts, "clock" | "syntax" | "log" | "doubtfulMs">,
    listeners: Pick<UpstreamDirectoryOptions, "onChange" | "onDoubtEnded">,
): UpstreamDirectory =>
    new UpstreamDirectory({
        ...listeners,
        clock,
        doubtfulMs,
        read: (id, text) => syntax.upstream(id, text),
        onInvalid: (id, findings) => log.write(events.listingInvalid, { upstream: id, findings: findings.map(formatFinding) }),
    });
