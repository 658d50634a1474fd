/**
 * Selects an upstream for one request from the current state of its service.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { decide, type Decision } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { events } from "../telemetry/event.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import { CandidateProbes } from "./candidate-probes.js";
import type { DecisionStep } from "./decision-record.js";
import { PlacedInputs } from "./placed-inputs.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Takes the decisions of one request and adds them to its record. */
export class UpstreamSelection {
    private readonly inputs: PlacedInputs;
    private readonly probes: CandidateProbes;

    /**
     * @param services - Shared services for requests.
     * @param runtime - State of the route's service.
     * @param progress - State of the request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
    ) {
        this.inputs = new PlacedInputs(services, runtime, progress);
        this.probes = new CandidateProbes(services, runtime, progress, this.inputs);
    }

    /**
     * Takes a decision, after probing the best candidates if the policy requires it.
     *
     * @param tried - Upstreams with an earlier attempt of this request.
     */
    async decide(tried: readonly UpstreamId[]): Promise<Decision> {
        const { progress, runtime, services } = this;
        this.inputs.selectCandidates(tried);
        await this.probes.probe(tried);
        const atMs = progress.ageMs;
        const step = this.decideWithEstimates(tried);
        const { input, decision } = step;
        runtime.advanceSequence();
        progress.record.steps.push({ ...step, atMs, durationMs: progress.ageMs - atMs });
        services.onDecision(runtime.name, input, decision);
        if (decision.policyFailure !== undefined) {
            services.log.write(events.policyFailed, { request: progress.record.id, ...decision.policyFailure });
        }
        return decision;
    }

    /** Records a shortage of headroom if the last decision shows one; not called for hedges, whose request is being served. */
    recordShortage(decision: Decision): void {
        const step = this.progress.record.steps.at(-1);
        if (step !== undefined) {
            this.progress.reserve.recordDecision(step.input, decision);
        }
    }

    /**
     * Decides on the current estimates. A request that would be refused, or also one that would wait if the policy says so, may
     * explore upstreams beyond known utilization, unless it must leave headroom to more urgent ones, which explore first.
     */
    private decideWithEstimates(tried: readonly UpstreamId[]): Omit<DecisionStep, "atMs" | "durationMs"> {
        const { policy } = this.progress.route;
        const placed = this.inputs.create(tried, false);
        const decision = decide(policy, placed.input);
        const isExplorer = decision.action === "refuse" || decision.action === "hold" && policy.exploration === "when-held";
        if (!isExplorer || placed.input.request.reserveShare > 0 || !this.runtime.tracker.mayExplore) {
            return { ...placed, decision, isExploration: false };
        }
        const explorationInputs = this.inputs.create(tried, true);
        const exploration = decide(policy, explorationInputs.input);
        return exploration.action === "choose"
            ? { ...explorationInputs, decision: exploration, isExploration: true }
            : { ...placed, decision, isExploration: false };
    }

    /** Whether a request that was queued, tried before or is cut short by a planned stop has less time left than the upstream's latency. */
    isDeadlineTooClose(upstream: UpstreamId, tried: readonly UpstreamId[]): boolean {
        const { progress } = this;
        const isFirst = progress.heldMs === 0 && tried.length === 0;
        return (!isFirst || progress.expiry.isByStop) && progress.remainingMs < (this.factsOf(upstream)?.latencyMs ?? 0);
    }

    /** Facts about an upstream in the last decision. */
    factsOf(upstream: UpstreamId): UpstreamFacts | undefined {
        return this.progress.record.steps.at(-1)?.input.upstreams.find(candidate => candidate.id === upstream);
    }
}

/** Expected time, as a multiple of the baseline, above which a hedge would mainly add load. */
const maximumHedgeTime = 1.6;

/** Whether a candidate is likely to respond sooner than the first attempt; true if the selector gives no scores. */
export const isHedgeWorthwhile = ({ scores }: Decision): boolean =>
    scores.every(score => score === undefined) || scores.some(score => score !== undefined && score < maximumHedgeTime);
