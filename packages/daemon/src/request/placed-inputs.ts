/**
 * Builds the inputs of a request's decisions from the current state of its service.
 *
 * @packageDocumentation
 */

import type { ZonePlacementName } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import {
    type DecisionInput,
    drawNumbers,
    type Placement,
    placementNameOf,
    withReserve,
    zonePlacements,
} from "@harrierhitch/decision";
import type { RequestFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { DecisionStep } from "./decision-record.js";
import { requestFactsOf } from "./request-facts.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Places a request in zones, and describes the upstreams there for its decision. */
export class PlacedInputs {
    /** The candidates of the current decision in all zones. */
    candidates: readonly UpstreamId[] = [];
    /** Whether upstreams at home were probed for the current decision, and none responded with a load report. */
    isHomeSilent = false;

    /**
     * @param services - Shared services for requests.
     * @param runtime - State of the route's service.
     * @param progress - State of the request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
    ) {}

    /** The placement of the request. */
    get placementName(): ZonePlacementName {
        const { policy, kind } = this.progress.route;
        return placementNameOf(policy.zonePlacement, this.runtime.payloadSizes.expectedBytes(kind));
    }

    /** Selects the candidates of the next decision. */
    selectCandidates(tried: readonly UpstreamId[]): void {
        const { runtime, services } = this;
        const prefersHome = this.placementName !== "any";
        this.isHomeSilent = false;
        this.candidates = runtime.tracker.selectCandidates(tried, () => services.random.next(), prefersHome);
    }

    /**
     * Creates the input of a decision, with the upstreams of the zones that the request may be sent to. The reserve for more
     * urgent requests applies to these: it does not change where a request may be sent.
     *
     * @param tried - Upstreams with an earlier attempt of this request.
     * @param isExploration - Whether to assume no contention where it is unknown.
     */
    create(tried: readonly UpstreamId[], isExploration: boolean): Pick<DecisionStep, "input" | "placement"> {
        const { progress, runtime, services } = this;
        const draws = drawNumbers(services.random);
        const reserveShare = progress.reserve.share;
        const request = requestFactsOf(progress, runtime, { headroomInMs: 0, reserveShare });
        const { candidates: upstreams, scope, reason } = this.placeWith(request, tried, draws, isExploration);
        const usable = withReserve(upstreams, reserveShare);
        const input: DecisionInput = {
            request: { ...request, waitMs: Math.max(request.waitMs, runtime.headroomInMs(usable, tried)) },
            service: runtime.facts(usable, tried, this.probeable),
            upstreams,
            tried: [...tried],
            draws,
            sequence: runtime.sequence,
        };
        return { input, placement: { scope, reason } };
    }

    /** Places the request in zones according to the current estimates, before random numbers are drawn for its decision. */
    place(tried: readonly UpstreamId[]): Placement {
        const request = requestFactsOf(this.progress, this.runtime, { headroomInMs: 0, reserveShare: 0 });
        return this.placeWith(request, tried, [], false);
    }

    private placeWith(
        request: RequestFacts,
        tried: readonly UpstreamId[],
        draws: readonly number[],
        isExploration: boolean,
    ): Placement {
        const { candidates, isHomeSilent, progress, runtime } = this;
        const { kind } = progress.route;
        const { latencyBaselines } = runtime;
        return zonePlacements[this.placementName].place({
            request: { ...request, usualMs: latencyBaselines.estimateOf(kind.name) ?? 0 },
            spread: latencyBaselines.spreadOf(kind.name),
            residenceMs: runtime.tracker.residenceMs,
            upstreams: runtime.tracker.factsOf(candidates, isExploration),
            tried,
            isHomeSilent,
            draws,
        });
    }

    private get probeable(): number {
        const { progress, services } = this;
        const { policy, service } = progress.route;
        return policy.probeCandidates === 0 || service.probePath === undefined
            ? 0
            : this.candidates.filter(id => services.prober.canProbe(id)).length;
    }
}
