/**
 * Everything that one decision depends on.
 *
 * @packageDocumentation
 */

import type { RequestFacts, ServiceFacts, UpstreamFacts } from "@harrierhitch/policy";

/** The input of a decision; recorded whole, so that the decision can be replayed. */
export interface DecisionInput {
    readonly request: RequestFacts;
    readonly service: ServiceFacts;
    /** All upstreams of the service, in the order of the configuration. */
    readonly upstreams: readonly UpstreamFacts[];
    /** Ids of the upstreams that this request has already tried. */
    readonly tried: readonly string[];
    /** Random numbers for the chooser, each at least 0 and below 1. */
    readonly draws: readonly number[];
    /** Running number of the service's decisions, for taking turns. */
    readonly sequence: number;
}
