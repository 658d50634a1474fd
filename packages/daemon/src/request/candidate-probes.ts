/**
 * Probes the candidates of a decision for their load.
 *
 * @packageDocumentation
 */

import { type UpstreamId, upstreamId } from "@harrierhitch/core";
import { hasCurrentReport, isKnownGood, probeCostOf, selectProbeTargets, type UpstreamEntry } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { PlacedInputs } from "./placed-inputs.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Upstreams probed in parallel; also the most before a repeated decision, and in other zones while home has an upstream. */
const parallelProbes = 2;

/** Share of the probe timeout after which probes of the home zone leave the rest to other zones. */
const homeTimeoutShare = 0.5;

/** Candidates that are probed together. */
interface ProbeGroup {
    readonly candidates: readonly UpstreamId[];
    readonly maximumProbes: number;
    /** Time at which probing ends. */
    readonly endAtMs: number;
}

/** Probes candidates before the decisions of one request. */
export class CandidateProbes {
    /**
     * @param services - Shared services for requests.
     * @param runtime - State of the route's service.
     * @param progress - State of the request.
     * @param inputs - Candidates and placement of the request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
        private readonly inputs: PlacedInputs,
    ) {}

    /**
     * Probes the best candidates, two at a time, until one is known to be good or the probe timeout expires. If the policy
     * places requests by zone, candidates elsewhere are only probed if the home zone cannot serve the request in time.
     *
     * @param tried - Upstreams with an earlier attempt of this request.
     */
    async probe(tried: readonly UpstreamId[]): Promise<void> {
        const { inputs, progress, runtime, services } = this;
        const { policy, service } = progress.route;
        if (policy.probeCandidates === 0 || service.probePath === undefined) {
            return;
        }
        const nowMs = services.clock.nowMs();
        const timeoutMs = Math.min(policy.probeTimeoutMs, progress.remainingMs);
        const endAtMs = nowMs + timeoutMs;
        if (runtime.queue.countAhead(progress.latencyBudget.queuePosition) > 0) {
            return;
        }
        const isPlaced = inputs.placementName !== "any";
        // A second attempt has little time left, and would leave its zone if it knew no fast upstream there.
        const isRepeat = tried.length > 0 && !isPlaced || progress.heldMs > 0;
        const maximumProbes = isRepeat ? parallelProbes : policy.probeCandidates;
        if (!isPlaced) {
            await this.probeGroup(tried, { candidates: inputs.candidates, maximumProbes, endAtMs });
            return;
        }
        const isHome = new Map(runtime.tracker.factsOf(inputs.candidates).map(({ id, sameZone }) => [id, sameZone]));
        const home = inputs.candidates.filter(id => isHome.get(id) === true);
        const homeEndAtMs = nowMs + timeoutMs * homeTimeoutShare;
        const probed = await this.probeGroup(tried, { candidates: home, maximumProbes, endAtMs: homeEndAtMs });
        inputs.isHomeSilent = probed.length >= parallelProbes && !runtime.tracker.factsOf(home).some(hasCurrentReport);
        const { scope, reason } = inputs.place(tried);
        if (scope === "all" || reason === "full" || inputs.isHomeSilent) {
            const candidates = inputs.candidates.filter(id => isHome.get(id) === false);
            // Without an upstream at home, other zones are probed as thoroughly as the home zone otherwise; so they are for a second
            // attempt, which has little time left.
            const isThorough = reason === "no-upstream" || tried.length > 0;
            const maximumProbesElsewhere = isThorough ? maximumProbes : parallelProbes;
            await this.probeGroup(tried, { candidates, maximumProbes: maximumProbesElsewhere, endAtMs });
        }
    }

    /** Probes candidates of a group; returns the ids of those that were probed. */
    private async probeGroup(tried: readonly UpstreamId[], group: ProbeGroup): Promise<readonly string[]> {
        const { progress: { route: { policy, service } }, runtime, services } = this;
        const cost = probeCostOf(policy.chooser);
        const probed: string[] = [];
        const untried = group.candidates.filter(id => !tried.includes(id));
        const hasGoodCandidate = (): boolean => runtime.tracker.factsOf(untried).some(upstream => isKnownGood(upstream, cost));
        for (let remaining = group.maximumProbes; remaining > 0 && !hasGoodCandidate(); remaining -= parallelProbes) {
            const timeoutMs = group.endAtMs - services.clock.nowMs();
            const unprobed = untried.filter(id => !probed.includes(id));
            const upstreams = this.nextTargets(unprobed, Math.min(parallelProbes, remaining));
            if (timeoutMs <= 0 || upstreams.length === 0) {
                return probed;
            }
            await services.prober.probe({ service, runtime, upstreams, timeoutMs, isSufficient: hasGoodCandidate });
            probed.push(...upstreams.map(({ id }) => id));
        }
        return probed;
    }

    /** Returns the best of some candidates that the probe budget allows. */
    private nextTargets(unprobed: readonly UpstreamId[], count: number): readonly UpstreamEntry[] {
        const { progress, runtime, services } = this;
        const cost = probeCostOf(progress.route.policy.chooser);
        const facts: readonly UpstreamFacts[] = runtime.tracker.factsOf(unprobed.filter(id => services.prober.canProbe(id)));
        const ids = selectProbeTargets({ upstreams: facts, tried: [] }, count, () => services.random.next(), cost);
        return ids.flatMap(id => runtime.tracker.find(upstreamId(id)) ?? []);
    }
}
