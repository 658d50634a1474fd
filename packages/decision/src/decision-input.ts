/**
 * The input of a decision.
 *
 * @packageDocumentation
 */

import type { RequestFacts, ServiceFacts, UpstreamFacts } from "@harrierhitch/policy";

/** Everything that a decision depends on; recorded completely, so that the decision can be replayed. */
export interface DecisionInput {
    readonly request: RequestFacts;
    readonly service: ServiceFacts;
    /** All upstreams of the service, in the order of the configuration. */
    readonly upstreams: readonly UpstreamFacts[];
    /** Ids of the upstreams that this request has already tried. */
    readonly tried: readonly string[];
    /** Random numbers for the chooser and for retry times, each at least 0 and below 1. */
    readonly draws: readonly number[];
    /** Sequence number of the decision within its service, for round-robin. */
    readonly sequence: number;
}
