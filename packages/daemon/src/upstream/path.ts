/**
 * The path from this instance to one upstream.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { PortState } from "./check-port.js";

/** State of a path; times are on the clock of this instance, `-Infinity` if there was none. */
export interface Path {
    readonly upstream: UpstreamEntry;
    readonly service: ServiceName;
    /** Time of the last response or established connection. */
    respondedAtMs: number;
    /** Result of the last check. */
    state: PortState;
    isReachable: boolean;
    /** Called when the path is lost. */
    readonly lostCallbacks: Set<() => void>;
    /** The verification that is running. */
    verification: Promise<boolean> | undefined;
}

export const newPath = (upstream: UpstreamEntry, service: ServiceName): Path => ({
    upstream,
    service,
    respondedAtMs: -Infinity,
    state: "silent",
    isReachable: true,
    lostCallbacks: new Set(),
    verification: undefined,
});
