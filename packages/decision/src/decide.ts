/**
 * The decision on a request: which upstream it is sent to, or that it waits or is refused.
 *
 * @packageDocumentation
 */

import type { ServicePolicy } from "@harrierhitch/configuration";
import { upstreamId } from "@harrierhitch/core";
import { PolicyRunError, type UpstreamFacts } from "@harrierhitch/policy";
import type { ChooserInput } from "./chooser.js";
import { choosers } from "./choosers.js";
import type { DecisionInput } from "./decision-input.js";
import type { Decision, Exclusion, PolicyFailure } from "./decision.js";
import { refusalRetryAfterMs, type RetryAfterPolicy, spreadRetryAfterMs } from "./refusal-retry-after.js";
import { withReserve } from "./shortage-history.js";
import { earliestAvailableMs, isLimited, jitteredRetryAfterMs, queueWaitMs } from "./upstream-backoff.js";
import { placementNameOf } from "./zone-placements.js";

/** The part of a service policy that decisions use. */
export type DecisionPolicy =
    & Pick<ServicePolicy, "policy" | "chooser">
    & RetryAfterPolicy
    & Partial<Pick<ServicePolicy, "zonePlacement">>;

/** Headroom that counts as that for one request; predicted numbers in flight have fractions. */
const minimumHeadroom = 0.5;

/** Time for which permits count as scarce after a refusal because of rate limits, in milliseconds. */
const scarceMs = 1000;

/** Retry time of a caller that was refused for lack of upstreams, in milliseconds. */
const noUpstreamRetryAfterMs = 1000;

/**
 * Decides on one attempt of a request.
 *
 * The result depends on the arguments only, so that a recorded decision can be replayed. If a clause of the policy fails, the
 * decision ignores the policy: it neither refuses nor holds the request by a clause, and selects the less loaded of two random
 * candidates.
 *
 * @param policy - The policy of the request's service.
 * @param input - The facts that the decision depends on.
 */
export const decide = (policy: DecisionPolicy, input: DecisionInput): Decision => {
    try {
        return decideByPolicy(policy, input);
    }
    catch (thrown) {
        if (thrown instanceof PolicyRunError) {
            return decideWithoutPolicy(policy, input, { clause: thrown.clause, detail: thrown.detail });
        }
        throw thrown;
    }
};

const decideByPolicy = (servicePolicy: DecisionPolicy, input: DecisionInput): Decision => {
    const { policy } = servicePolicy;
    const { request, service } = input;
    if (input.upstreams.every(({ state }) => state === "draining")) {
        // Waiting is useless: all upstreams are draining, or none is in service.
        return decideWithoutCandidates(input.upstreams.map(exclusionOf), undefined);
    }
    const waitMs = earliestAvailableMs(input.upstreams);
    if (waitMs === undefined && mustLeavePermit(input)) {
        return refuseByLimits(input);
    }
    if (waitMs !== undefined) {
        return isLimited(input.upstreams) ? decideUnderLimits(input, waitMs) : decideDuringBackoff(input, waitMs);
    }
    const reason = policy.refuse(request, service);
    if (reason !== undefined) {
        const { targetMs, remainingMs } = request;
        const [draw = 0] = input.draws;
        const retryAfterMs = refusalRetryAfterMs(servicePolicy, { targetMs, remainingMs, roomInMs: service.roomInMs, draw });
        return { action: "refuse", cause: "policy", reason, retryAfterMs, exclusions: [], scores: [], policyFailure: undefined };
    }
    if (policy.hold(request, service)) {
        return { action: "hold", cause: "policy", exclusions: [], scores: [], policyFailure: undefined };
    }
    const exclusions = excludeReserved(
        input,
        excludeTried(
            input,
            input.upstreams.map(upstream =>
                exclusionOf(upstream) ?? (policy.filter(request, service, upstream) ? undefined : "filtered")
            ),
        ),
    );
    const candidates = input.upstreams.filter((_, index) => exclusions[index] === undefined);
    if (candidates.length === 0) {
        return decideWithoutCandidates(exclusions, undefined);
    }
    return selectAmong(servicePolicy, input, exclusions, candidates, rankBy(servicePolicy, input), undefined);
};

const rankBy = ({ policy }: DecisionPolicy, { request, service }: DecisionInput): ChooserInput["rank"] =>
    policy.source.clauses.rank === undefined ? undefined : upstream => policy.rank(request, service, upstream) ?? 0;

const decideWithoutPolicy = (policy: DecisionPolicy, input: DecisionInput, failure: PolicyFailure): Decision => {
    const exclusions = excludeTried(input, input.upstreams.map(exclusionOf));
    const candidates = input.upstreams.filter((_, index) => exclusions[index] === undefined);
    return candidates.length === 0
        ? decideWithoutCandidates(exclusions, failure)
        : selectAmong({ ...policy, chooser: "two-choices" }, input, exclusions, candidates, undefined, failure);
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

/** Excludes the upstreams that the request has tried, unless no others are available. */
const excludeTried = (
    input: DecisionInput,
    exclusions: readonly (Exclusion | undefined)[],
): readonly (Exclusion | undefined)[] => {
    const isTried = (index: number): boolean => input.tried.includes(input.upstreams[index]?.id ?? "");
    const hasUntried = exclusions.some((exclusion, index) => exclusion === undefined && !isTried(index));
    return hasUntried
        ? exclusions.map((exclusion, index) => exclusion ?? (isTried(index) ? "tried" : undefined))
        : exclusions;
};

/**
 * Excludes the upstreams without headroom beyond the request's reserve, unless no other is available. The chooser also weighs
 * zones and failures, for which it could otherwise prefer an upstream whose last headroom a more urgent request waits for.
 */
const excludeReserved = (
    { request, upstreams }: DecisionInput,
    exclusions: readonly (Exclusion | undefined)[],
): readonly (Exclusion | undefined)[] => {
    if (request.reserveShare <= 0) {
        return exclusions;
    }
    const hasHeadroom = withReserve(upstreams, request.reserveShare)
        .map(({ bestInFlight, expectedInFlight }) => bestInFlight - expectedInFlight >= minimumHeadroom);
    return exclusions.some((exclusion, index) => exclusion === undefined && hasHeadroom[index] === true)
        ? exclusions.map((exclusion, index) => exclusion ?? (hasHeadroom[index] === true ? undefined : "reserved"))
        : exclusions;
};

const decideWithoutCandidates = (
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

/** While all upstreams back off, a request waits if the backoff ends in time, and is refused otherwise. */
const decideDuringBackoff = ({ request, upstreams, draws }: DecisionInput, backoffMs: number): Decision => {
    const decision = { exclusions: upstreams.map(exclusionOf), scores: [], policyFailure: undefined };
    if (request.holdLeftMs >= backoffMs) {
        return { ...decision, action: "hold", cause: "resting" };
    }
    const reason = "all upstreams of the service have asked for a rest";
    const [draw = 0] = draws;
    return { ...decision, action: "refuse", cause: "no-upstream", reason, retryAfterMs: jitteredRetryAfterMs(backoffMs, draw) };
};

/**
 * Whether a request that has missed its target must leave the next permit to requests that can still meet theirs: while all
 * upstreams announce rate limits and such requests were refused a short time ago.
 */
const mustLeavePermit = ({ request, service, upstreams }: DecisionInput): boolean => {
    const notDraining = upstreams.filter(({ state }) => state !== "draining");
    return request.targetMs > 0 && request.targetLeftMs < 0
        && service.turnedAwayMs >= 0 && service.turnedAwayMs < scarceMs
        && notDraining.every(({ takesPerSecond }) => takesPerSecond >= 0);
};

/**
 * While the rate limits of all upstreams permit nothing now, a request waits if its permit comes in time, and is refused
 * otherwise.
 */
const decideUnderLimits = (input: DecisionInput, waitMs: number): Decision => {
    const { request, upstreams } = input;
    const exclusions = upstreams.map(exclusionOf);
    return request.holdLeftMs >= queueWaitMs(waitMs, request.ahead, upstreams)
        ? { action: "hold", cause: "limited", exclusions, scores: [], policyFailure: undefined }
        : refuseByLimits(input);
};

/**
 * Refuses a request because of rate limits. The retry time is jittered, because other instances refuse callers at the same
 * time.
 */
const refuseByLimits = ({ service, upstreams, draws }: DecisionInput): Decision => {
    const reason = "all upstreams of the service name how much they take, and that is used up";
    const [draw = 0] = draws;
    const retryAfterMs = spreadRetryAfterMs(service.returnInMs, draw);
    const exclusions = upstreams.map(exclusionOf);
    return { action: "refuse", cause: "limited", reason, retryAfterMs, exclusions, scores: [], policyFailure: undefined };
};

const selectAmong = (
    { chooser, zonePlacement = "any" }: Pick<DecisionPolicy, "chooser" | "zonePlacement">,
    input: DecisionInput,
    exclusions: readonly (Exclusion | undefined)[],
    candidates: readonly UpstreamFacts[],
    rank: ChooserInput["rank"],
    policyFailure: PolicyFailure | undefined,
): Decision => {
    const { draws, request, sequence, tried } = input;
    const usable = withReserve(candidates, request.reserveShare);
    const isPlaced = placementNameOf(zonePlacement, request.expectedBytes) !== "any";
    const isRetry = tried.length > 0;
    const selection = choosers[chooser].select({ candidates: usable, rank, isPlaced, draws, sequence, isRetry });
    let candidateIndex = 0;
    const scores = exclusions.map(exclusion => exclusion === undefined ? selection.scores[candidateIndex++] : undefined);
    return {
        action: "choose",
        upstream: upstreamId(candidates[selection.index]?.id ?? ""),
        chooser,
        exclusions,
        scores,
        policyFailure,
    };
};
