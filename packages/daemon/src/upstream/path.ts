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

/**
 * Selects the paths that are most likely intact: those not found closed, with the last responses; in random order where there was none.
 *
 * @param paths - The paths to select from.
 * @param count - Number of paths.
 * @param draw - Returns random numbers of at least 0 and below 1.
 */
export const selectLively = (paths: readonly Path[], count: number, draw: () => number): readonly Path[] =>
    paths
        .map(path => ({ path, isClosed: Number(path.state === "closed"), order: draw() }))
        .sort((a, b) =>
            a.isClosed - b.isClosed || Number(b.path.respondedAtMs > a.path.respondedAtMs)
                - Number(a.path.respondedAtMs > b.path.respondedAtMs)
            || a.order - b.order
        )
        .slice(0, count)
        .map(({ path }) => path);

/** Selects one path at random; `undefined` if there is none. */
export const selectRandom = (paths: readonly Path[], draw: () => number): Path | undefined =>
    paths[Math.floor(draw() * paths.length)];
