/**
 * The choice of an upstream for one request, from what is true just now.
 *
 * @packageDocumentation
 */

import { type UpstreamId, upstreamId } from "@harrierhitch/core";
import {
    decide,
    type Decision,
    type DecisionInput,
    drawNumbers,
    isKnownGood,
    selectProbeTargets,
    type UpstreamEntry,
} from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { events } from "../telemetry/event.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { DecisionStep } from "./decision-record.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Upstreams that are asked for their load at the same time, and once more before each further decision on the request. */
const probesAtOnce = 2;

/** Takes the decisions of one request, and records them. */
export class RequestChoice {
    /** The upstreams that the decision being taken looks at. */
    private considered: readonly UpstreamId[] = [];

    /**
     * @param services - What the daemon provides to requests.
     * @param runtime - The state of the route's service.
     * @param progress - The request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
    ) {}

    /**
     * Decides, after asking the likeliest upstreams where the policy wants it.
     *
     * @param tried - Upstreams that the request has tried already.
     */
    async decide(tried: readonly UpstreamId[]): Promise<Decision> {
        const { progress, runtime, services } = this;
        this.considered = runtime.tracker.selectCandidates(tried, () => services.random.next());
        await this.probe(tried);
        const atMs = progress.ageMs;
        const { input, decision, isExploration: isTrial } = this.decideNow(tried);
        runtime.advanceSequence();
        progress.record.steps.push({ atMs, durationMs: progress.ageMs - atMs, input, decision, isExploration: isTrial });
        services.onDecision(runtime.name, input, decision);
        if (decision.policyFailure !== undefined) {
            services.log.write(events.policyFailed, { request: progress.record.id, ...decision.policyFailure });
        }
        return decision;
    }

    /** Decides by what is known; what would be refused finds out how fuller upstreams do, where nothing is known of that. */
    private decideNow(tried: readonly UpstreamId[]): Pick<DecisionStep, "input" | "decision" | "isExploration"> {
        const { policy } = this.progress.route;
        const input = this.input(tried, false);
        const decision = decide(policy, input);
        if (decision.action !== "refuse" || !this.runtime.tracker.mayExplore) {
            return { input, decision, isExploration: false };
        }
        const trialInput = this.input(tried, true);
        const trial = decide(policy, trialInput);
        return trial.action === "choose"
            ? { input: trialInput, decision: trial, isExploration: true }
            : { input, decision, isExploration: false };
    }

    private input(tried: readonly UpstreamId[], isTrial: boolean): DecisionInput {
        const { progress, runtime, services } = this;
        const upstreams = runtime.tracker.factsOf(this.considered, isTrial);
        return {
            request: progress.facts(runtime.headroomInMs(upstreams, tried)),
            service: runtime.facts(upstreams, tried, this.askable),
            upstreams,
            tried: [...tried],
            draws: drawNumbers(services.random),
            sequence: runtime.sequence,
        };
    }

    /** Upstreams, of those that are looked at, that may be asked for their load now. */
    private get askable(): number {
        const { progress, services } = this;
        const { policy, service } = progress.route;
        return policy.probeCandidates === 0 || service.probePath === undefined
            ? 0
            : this.considered.filter(id => services.prober.canProbe(id)).length;
    }

    /** Asks the likeliest upstreams for their load, two at a time, until one is good or the patience ends. */
    private async probe(tried: readonly UpstreamId[]): Promise<void> {
        const { progress, runtime, services } = this;
        const { policy, service } = progress.route;
        if (policy.probeCandidates === 0 || service.probePath === undefined) {
            return;
        }
        const endAtMs = services.clock.nowMs() + Math.min(policy.probeTimeoutMs, progress.remainingMs);
        const asked = new Set<string>(tried);
        const hasGood = (): boolean =>
            runtime.tracker.factsOf(this.considered.filter(id => !tried.includes(id))).some(isKnownGood);
        if (runtime.queue.countAhead(progress.urgency.place) > 0) {
            return;
        }
        const isAgain = tried.length > 0 || progress.heldMs > 0;
        const most = isAgain ? probesAtOnce : policy.probeCandidates;
        for (let left = most; left > 0 && !hasGood(); left -= probesAtOnce) {
            const timeoutMs = endAtMs - services.clock.nowMs();
            const upstreams = this.likeliest(asked, Math.min(probesAtOnce, left));
            if (timeoutMs <= 0 || upstreams.length === 0) {
                return;
            }
            await services.prober.probe({ service, runtime, upstreams, timeoutMs, isSufficient: hasGood });
            upstreams.forEach(({ id }) => asked.add(id));
        }
    }

    /** The likeliest upstreams that were not asked yet and that the budget allows to ask. */
    private likeliest(asked: ReadonlySet<string>, count: number): readonly UpstreamEntry[] {
        const { runtime, services } = this;
        const askable = this.considered.filter(id => !asked.has(id) && services.prober.canProbe(id));
        const facts = runtime.tracker.factsOf(askable);
        const ids = selectProbeTargets({ upstreams: facts, tried: [] }, count, () => services.random.next());
        return ids.flatMap(id => runtime.tracker.find(upstreamId(id)) ?? []);
    }

    /** Whether a request that was held back or tried before has less time left than an answer usually takes. */
    isHopeless(upstream: UpstreamId, tried: readonly UpstreamId[]): boolean {
        const { progress } = this;
        const isFirst = progress.heldMs === 0 && tried.length === 0;
        return !isFirst && progress.remainingMs < (this.factsOf(upstream)?.latencyMs ?? 0);
    }

    /** What the last decision knew of an upstream. */
    factsOf(upstream: UpstreamId): UpstreamFacts | undefined {
        return this.progress.record.steps.at(-1)?.input.upstreams.find(candidate => candidate.id === upstream);
    }
}

/** Expected time, in times of usual work, above which a second attempt would only add to the load that made the first one slow. */
const promisingTime = 1.6;

/** Whether a second attempt where this decision leads is likely to help. */
export const isPromising = ({ scores }: Decision): boolean =>
    scores.every(score => score === undefined) || scores.some(score => score !== undefined && score < promisingTime);
