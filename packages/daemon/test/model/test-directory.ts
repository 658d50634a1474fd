/**
 * A directory of discovered upstreams for tests that need only its revision.
 */

import type { Clock } from "@harrierhitch/core";
import { UpstreamDirectory } from "@harrierhitch/published";

/** Creates a directory whose callbacks do nothing. */
export const createTestDirectory = (clock: Clock): UpstreamDirectory =>
    new UpstreamDirectory({
        clock,
        read: () => ({ value: undefined, findings: [] }),
        removalGraceMs: () => 0,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: () => undefined,
    });
