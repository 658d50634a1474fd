/**
 * Creates the directory of an instance's discovered upstreams.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@harrierhitch/configuration";
import { UpstreamDirectory, type UpstreamDirectoryOptions } from "@harrierhitch/published";
import type { InstanceParts } from "./instance-parts.js";
import { events } from "./telemetry/event.js";

/** Maximum number of upstreams that one event names. */
const maximumLoggedUpstreams = 16;

/**
 * Creates the directory with the platform's parser; entries that cannot be parsed are logged.
 *
 * @param parts - Dependencies of the instance.
 * @param listeners - Callbacks for changes.
 */
export const createDirectory = (
    { clock, parser, log, metrics, removalGraceMs }: Pick<
        InstanceParts,
        "clock" | "parser" | "log" | "metrics" | "removalGraceMs"
    >,
    listeners: Pick<UpstreamDirectoryOptions, "onChange" | "onZoneChange" | "onRemovalConfirmed">,
): UpstreamDirectory =>
    new UpstreamDirectory({
        ...listeners,
        clock,
        removalGraceMs,
        read: (id, text) => parser.parseUpstream(id, text),
        onRemovalsUnconfirmed: (removals, graceMs) => {
            log.write(events.removalsUnconfirmed, {
                graceMs,
                revision: Math.max(...removals.map(({ revision }) => revision)),
                count: removals.length,
                upstreams: removals.slice(0, maximumLoggedUpstreams).map(({ upstream }) => upstream),
            });
        },
        onInvalid: (id, findings, revision) => {
            metrics.invalidEntries.inc();
            log.write(events.entryInvalid, { upstream: id, revision, findings: findings.map(formatFinding) });
        },
    });
