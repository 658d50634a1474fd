/**
 * The decision: which upstream a request goes to, or that it waits or is refused.
 *
 * @packageDocumentation
 */

import type { ServicePolicy } from "@harrierhitch/configuration";
import { upstreamId } from "@harrierhitch/core";
import { PolicyRunError, type RequestFacts, type UpstreamFacts } from "@harrierhitch/policy";
import type { ChooserInput } from "./chooser.js";
import { choosers } from "./choosers.js";
import type { DecisionInput } from "./decision-input.js";
import type { Decision, Exclusion, PolicyFailure } from "./decision.js";
import { earliestAvailableMs, isLimited, jitteredRetryAfterMs, queueWaitMs } from "./upstream-backoff.js";

/** What a decision needs of a policy. */
export type DecisionPolicy =
    & Pick<ServicePolicy, "policy" | "chooser" | "refuseRetryAfterMs">
    & Partial<Pick<ServicePolicy, "refuseRetryAfterPercent">>;

/** Most by which a caller's return is spread to either side, as a share of the time until there is room for it. */
const returnSpread = 0.25;

/** Time after a caller was turned away because of limits for which turns are scarce, in milliseconds. */
const scarceMs = 1000;

/** When a caller should come back after a refusal for lack of upstreams. */
const noUpstreamRetryAfterMs = 1000;

/**
 * Decides on one attempt of a request.
 *
 * The result depends on the arguments alone, so that a recorded decision can be
 * replayed. When a clause of the policy fails, the decision goes on without the
 * policy: nothing is refused or held by it, and the least busy of two random
 * candidates is taken.
 *
 * @param policy - The policy of the request's service.
 * @param input - What is believed.
 */
export const decide = (policy: DecisionPolicy, input: DecisionInput): Decision => {
    try {
        return decideBy(policy, input);
    }
    catch (thrown) {
        if (thrown instanceof PolicyRunError) {
            return decideWithoutPolicy(input, { clause: thrown.clause, detail: thrown.detail });
        }
        throw thrown;
    }
};

const decideBy = (servicePolicy: DecisionPolicy, input: DecisionInput): Decision => {
    const { policy, chooser } = servicePolicy;
    const { request, service } = input;
    if (input.upstreams.every(({ state }) => state === "draining")) {
        // Waiting brings nothing: all are leaving, or their availability zones are out of service.
        return withoutCandidates(input.upstreams.map(exclusionOf), undefined);
    }
    const waitMs = earliestAvailableMs(input.upstreams);
    if (waitMs === undefined && isLeftToOthers(input)) {
        return turnedAway(input);
    }
    if (waitMs !== undefined) {
        return isLimited(input.upstreams) ? underLimits(input, waitMs) : duringRest(input, waitMs);
    }
    const reason = policy.refuse(request, service);
    if (reason !== undefined) {
        const retryAfterMs = retryAfterOf(servicePolicy, request);
        return { action: "refuse", cause: "policy", reason, retryAfterMs, exclusions: [], scores: [], policyFailure: undefined };
    }
    if (policy.hold(request, service)) {
        return { action: "hold", cause: "policy", exclusions: [], scores: [], policyFailure: undefined };
    }
    const exclusions = withoutTried(
        input,
        input.upstreams.map(upstream =>
            exclusionOf(upstream) ?? (policy.filter(request, service, upstream) ? undefined : "filtered")
        ),
    );
    const candidates = input.upstreams.filter((_, index) => exclusions[index] === undefined);
    if (candidates.length === 0) {
        return withoutCandidates(exclusions, undefined);
    }
    return chooseAmong(chooser, input, exclusions, candidates, rankBy(servicePolicy, input), undefined);
};

/** When a caller that was refused should come back, in milliseconds. */
export const retryAfterOf = (
    { refuseRetryAfterMs, refuseRetryAfterPercent = 0 }: DecisionPolicy,
    request: Pick<RequestFacts, "targetMs">,
): number =>
    refuseRetryAfterPercent > 0 && request.targetMs > 0 ? request.targetMs * refuseRetryAfterPercent / 100 : refuseRetryAfterMs;

const rankBy = ({ policy }: DecisionPolicy, { request, service }: DecisionInput): ChooserInput["rank"] =>
    policy.source.clauses.rank === undefined ? undefined : upstream => policy.rank(request, service, upstream) ?? 0;

const decideWithoutPolicy = (input: DecisionInput, failure: PolicyFailure): Decision => {
    const exclusions = withoutTried(input, input.upstreams.map(exclusionOf));
    const candidates = input.upstreams.filter((_, index) => exclusions[index] === undefined);
    return candidates.length === 0
        ? withoutCandidates(exclusions, failure)
        : chooseAmong("two-choices", input, exclusions, candidates, undefined, failure);
};

const exclusionOf = (upstream: UpstreamFacts): Exclusion | undefined => {
    if (upstream.state === "draining" || upstream.state === "ejected") {
        return upstream.state;
    }
    if (upstream.restMs > 0) {
        return "resting";
    }
    if (upstream.shareInMs > 0) {
        return "limited";
    }
    return upstream.inFlight >= upstream.limit ? "at-limit" : undefined;
};

/** Leaves out the upstreams that the request has tried, unless only they are left. */
const withoutTried = (
    input: DecisionInput,
    exclusions: readonly (Exclusion | undefined)[],
): readonly (Exclusion | undefined)[] => {
    const isTried = (index: number): boolean => input.tried.includes(input.upstreams[index]?.id ?? "");
    const untriedLeft = exclusions.some((exclusion, index) => exclusion === undefined && !isTried(index));
    return untriedLeft
        ? exclusions.map((exclusion, index) => exclusion ?? (isTried(index) ? "tried" : undefined))
        : exclusions;
};

const withoutCandidates = (
    exclusions: readonly (Exclusion | undefined)[],
    policyFailure: PolicyFailure | undefined,
): Decision => {
    if (exclusions.includes("at-limit")) {
        return { action: "hold", cause: "at-limit", exclusions, scores: [], policyFailure };
    }
    const reason = "no upstream of the service takes work now";
    const retryAfterMs = noUpstreamRetryAfterMs;
    return { action: "refuse", cause: "no-upstream", reason, retryAfterMs, exclusions, scores: [], policyFailure };
};

/** While all upstreams rest, a request waits where that ends in time, and else is told at once when to come back. */
const duringRest = ({ request, upstreams, draws }: DecisionInput, restMs: number): Decision => {
    const decision = { exclusions: upstreams.map(exclusionOf), scores: [], policyFailure: undefined };
    if (request.holdLeftMs >= restMs) {
        return { ...decision, action: "hold", cause: "resting" };
    }
    const reason = "all upstreams of the service have asked for a rest";
    const [draw = 0] = draws;
    return { ...decision, action: "refuse", cause: "no-upstream", reason, retryAfterMs: jitteredRetryAfterMs(restMs, draw) };
};

/**
 * Whether a request whose target has passed has to leave the next turn at an upstream to others, who can still be in time: while all
 * upstreams name limits, and such callers are turned away.
 */
const isLeftToOthers = ({ request, service, upstreams }: DecisionInput): boolean => {
    const staying = upstreams.filter(({ state }) => state !== "draining");
    return request.targetMs > 0 && request.targetLeftMs < 0
        && service.turnedAwayMs >= 0 && service.turnedAwayMs < scarceMs
        && staying.every(({ takesPerSecond }) => takesPerSecond >= 0);
};

/**
 * While all upstreams name limits that leave nothing to this instance now, a request waits where its turn comes in time, and else is
 * turned away at once.
 */
const underLimits = (input: DecisionInput, waitMs: number): Decision => {
    const { request, upstreams } = input;
    const exclusions = upstreams.map(exclusionOf);
    return request.holdLeftMs >= queueWaitMs(waitMs, request.ahead, upstreams)
        ? { action: "hold", cause: "limited", exclusions, scores: [], policyFailure: undefined }
        : turnedAway(input);
};

/** Tells a caller when there is room for one more, a little to either side: instances that turn callers away do so alike. */
const turnedAway = ({ service, upstreams, draws }: DecisionInput): Decision => {
    const reason = "all upstreams of the service name how much they take, and that is used up";
    const [draw = 0] = draws;
    const retryAfterMs = service.returnInMs * (1 + returnSpread * (2 * draw - 1));
    const exclusions = upstreams.map(exclusionOf);
    return { action: "refuse", cause: "limited", reason, retryAfterMs, exclusions, scores: [], policyFailure: undefined };
};

const chooseAmong = (
    chooserName: keyof typeof choosers,
    input: DecisionInput,
    exclusions: readonly (Exclusion | undefined)[],
    candidates: readonly UpstreamFacts[],
    rank: ChooserInput["rank"],
    policyFailure: PolicyFailure | undefined,
): Decision => {
    const { draws, sequence: turn } = input;
    const choice = choosers[chooserName].select({ candidates, rank, draws, sequence: turn });
    let candidate = 0;
    const scores = exclusions.map(exclusion => exclusion === undefined ? choice.scores[candidate++] : undefined);
    return {
        action: "choose",
        upstream: upstreamId(candidates[choice.index]?.id ?? ""),
        chooser: chooserName,
        exclusions,
        scores,
        policyFailure,
    };
};
