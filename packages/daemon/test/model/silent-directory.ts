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
        removalGraceMs: () => 0,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: () => undefined,
    });
