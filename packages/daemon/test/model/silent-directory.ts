/**
 * A directory of listed upstreams of which only the revision matters.
 */

import type { Clock } from "@harrierhitch/core";
import { UpstreamDirectory } from "@harrierhitch/published";

/** Makes a directory that tells nobody of its changes. */
export const silentDirectory = (clock: Clock): UpstreamDirectory =>
    new UpstreamDirectory({
        clock,
        read: () => ({ value: undefined, findings: [] }),
        doubtfulMs: () => 0,
        onChange: () => undefined,
        onZone: () => undefined,
        onDoubtEnded: () => undefined,
        onInvalid: () => undefined,
    });
