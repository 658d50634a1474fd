/**
 * Zone placement: which availability zones a request may be sent to.
 *
 * @packageDocumentation
 */

import type { ZonePlacementName } from "@harrierhitch/configuration";
import type { RequestFacts, UpstreamFacts } from "@harrierhitch/policy";

/** The facts about a request that its placement depends on. */
export type PlacementRequest = Pick<
    RequestFacts,
    "targetMs" | "targetLeftMs" | "holdLeftMs" | "waitMs" | "usualMs" | "expectedBytes"
>;

/** Everything that a placement depends on. */
export interface PlacementInput {
    /** The request; its `waitMs` is the time until the requests ahead in the queue have been sent. */
    readonly request: PlacementRequest;
    /** Ratio of the 90th percentile of the service time to the baseline. */
    readonly spread: number;
    /** Average time for which a request is in flight, in milliseconds. */
    readonly residenceMs: number;
    /** Upstreams of all zones. */
    readonly upstreams: readonly UpstreamFacts[];
    /** Ids of the upstreams that the request has tried. */
    readonly tried: readonly string[];
    /** Whether several upstreams at home were probed for this decision, and none responded with a load report. */
    readonly isHomeSilent: boolean;
    /** Random numbers of the decision, each at least 0 and below 1. */
    readonly draws: readonly number[];
}

/** Whether a request may be sent to the zone of this instance only (`home`) or also to others (`all`). */
export type PlacementScope = "home" | "all";

/**
 * Why a request stays or may leave.
 *
 * - `any`: the strategy does not distinguish zones.
 * - `in-time`: stays; an upstream at home has headroom and is expected to respond within the target.
 * - `waits`: stays; it is large, and can wait for headroom at home and still meet its target.
 * - `full`: stays; no other zone has headroom, or none that would serve it sooner.
 * - `no-headroom`: may leave; no upstream at home has headroom.
 * - `too-slow`: may leave; the upstreams with headroom at home are expected to miss the target.
 * - `no-upstream`: may leave; there is no upstream at home, or those there fail and do not respond to probes.
 */
export type PlacementReason = "any" | "in-time" | "waits" | "full" | "no-headroom" | "too-slow" | "no-upstream";

/** Result of a placement. */
export interface Placement {
    /** The upstreams that the decision evaluates, in the order of the input. */
    readonly candidates: readonly UpstreamFacts[];
    readonly scope: PlacementScope;
    readonly reason: PlacementReason;
}

/** Selects the zones that a request may be sent to. It has no state: the same input gives the same placement. */
export interface ZonePlacement {
    readonly name: ZonePlacementName;
    place(input: PlacementInput): Placement;
}
