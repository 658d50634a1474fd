/**
 * Sampling of upstreams in proportion to their headroom.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import { headroomOf } from "./probe-targets.js";

/**
 * Samples distinct upstreams with probabilities in proportion to their headroom, so that instances that send requests to other
 * zones at the same moment spread them over the zones and upstreams that have capacity left.
 *
 * @param upstreams - Upstreams with headroom.
 * @param draws - One random number for each upstream of the sample, at least 0 and below 1.
 */
export const sampleByHeadroom = (upstreams: readonly UpstreamFacts[], draws: readonly number[]): readonly UpstreamFacts[] => {
    const pool = [...upstreams];
    return draws.flatMap(draw => pool.splice(indexAt(pool, draw), 1));
};

/** Returns the index of the upstream at a position in the cumulated headroom. */
const indexAt = (upstreams: readonly UpstreamFacts[], draw: number): number => {
    let position = draw * upstreams.reduce((sum, upstream) => sum + headroomOf(upstream), 0);
    const index = upstreams.findIndex(upstream => (position -= headroomOf(upstream)) < 0);
    return index < 0 ? upstreams.length - 1 : index;
};
