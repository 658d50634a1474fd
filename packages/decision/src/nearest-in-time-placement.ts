/**
 * The placement that keeps requests in the zone of the instance as long as they can be served there in time.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import { expectedCompletionTime } from "./expected-completion-chooser.js";
import { expectedServiceTime } from "./expected-time-chooser.js";
import { assumedResponseShare } from "./latency-baselines.js";
import { hasCurrentReport, headroomOf, headroomWaitMs, isEligible } from "./probe-targets.js";
import { sampleByHeadroom } from "./sample-by-headroom.js";
import type { Placement, PlacementInput, PlacementReason, ZonePlacement } from "./zone-placement.js";

/**
 * Payload up to which a request does not wait at home, in bytes: the initial congestion window of TCP (10 segments), within
 * which crossing zones costs one round trip.
 */
const smallPayloadBytes = 14_600;

/** Headroom from which an upstream has room for one more request; as in the policies of deployments. */
const minimumHeadroom = 0.5;

/** Expected time elsewhere, as a share of the best at home, from which leaving is worth the traffic between zones. */
const worthwhileShare = 0.8;

/**
 * Headroom elsewhere from which a request leaves although it could wait at home, as a share of the optimal concurrency and as a
 * number of requests. While all zones are full, single slots become free all the time; the requests that wait there use them.
 * In replays at 98 % of the capacity, shares of 0.05 and 0.1 made requests wait at home until they missed their target.
 */
const spareShare = 0.03;
const spareRequests = 1.5;

/** Expected time up to which destinations count as equally good, as a multiple of the best one. */
const equalTimeFactor = 1.25;

/** Upstreams of the sample by headroom: enough to choose the better one, and few enough to spread requests over the zones. */
const sampleSize = 2;

/**
 * Expected slowdown that is accepted without a current report, as a share of the slowdown that the target allows. It is a mean over
 * upstreams that are slow or not; where noisy neighbours make work take seven times as long, less than one in ten is then late.
 */
const acceptedSlowdownShare = 0.4;

/** Shed rate from which a request may leave for an upstream that sheds less: a retry is not certain, as its budget is shared. */
const unreliableShedRate = 0.25;

/** Failure rate from which an upstream has failed recently: one failure gives 0.1, and seven successes halve it. */
const recentFailureRate = 0.05;

/** Position of the draws that the sample uses; the chooser breaks ties with the first one. */
const firstDraw = 2;

/**
 * Keeps a request at home if it can be served there in time, and else lets it leave if that helps.
 *
 * A zone that is short of capacity thus passes on its surplus only, request by request and on the basis of current load reports.
 */
export class NearestInTimePlacement implements ZonePlacement {
    readonly name = "nearest-in-time";

    place(input: PlacementInput): Placement {
        const untried = input.upstreams.filter(({ id }) => !input.tried.includes(id));
        const available = untried.some(isReady) ? untried : input.upstreams;
        const home = available.filter(upstream => upstream.sameZone && isInService(upstream));
        const elsewhere = available.filter(upstream => !upstream.sameZone && hasHeadroom(upstream));
        if (home.length === 0 || isLost(input, elsewhere)) {
            return leaveHome(input, elsewhere);
        }
        const withHeadroom = home.filter(hasHeadroom);
        if (withHeadroom.some(upstream => isInTime(input, upstream))) {
            return stay(home, "in-time");
        }
        const canWait = home.some(upstream => canWaitFor(input, upstream));
        if (canWait && input.request.expectedBytes > smallPayloadBytes) {
            return stay(home, "waits");
        }
        const destinations = canWait
            ? spareDestinations(available, home, elsewhere)
            : lastDestinations(input, home, elsewhere);
        return destinations.length === 0
            ? stay(home, "full")
            : leave(input, destinations, withHeadroom.length === 0 ? "no-headroom" : "too-slow");
    }
}

/** Returns the destinations of a request that could also wait at home: faster upstreams, if other zones have spare capacity. */
const spareDestinations = (
    available: readonly UpstreamFacts[],
    home: readonly UpstreamFacts[],
    elsewhere: readonly UpstreamFacts[],
): readonly UpstreamFacts[] => hasSpareCapacity(available) ? fasterThan(home, elsewhere) : [];

/** Returns the upstreams elsewhere that are expected to serve a request clearly sooner than home. */
const fasterThan = (home: readonly UpstreamFacts[], elsewhere: readonly UpstreamFacts[]): readonly UpstreamFacts[] => {
    const homeTime = Math.min(...home.filter(isReady).map(expectedCompletionTime));
    return elsewhere.filter(upstream => expectedCompletionTime(upstream) <= homeTime * worthwhileShare);
};

/**
 * Returns the destinations of a request that cannot meet its target at home even by waiting: if none is clearly faster, those
 * that may meet the target, so that it is not missed because the request stayed.
 */
const lastDestinations = (
    input: PlacementInput,
    home: readonly UpstreamFacts[],
    elsewhere: readonly UpstreamFacts[],
): readonly UpstreamFacts[] => {
    const faster = fasterThan(home, elsewhere);
    if (faster.length > 0) {
        return faster;
    }
    // An upstream with headroom that is as slow as the ones at home does not help.
    return home.some(hasHeadroom) ? elsewhere.filter(upstream => isInTime(input, upstream)) : elsewhere;
};

/** Whether the upstreams elsewhere have clearly more headroom than full ones; judged by those with a current report if any. */
const hasSpareCapacity = (available: readonly UpstreamFacts[]): boolean => {
    const elsewhere = preferCurrent(available.filter(upstream => !upstream.sameZone && isReady(upstream)));
    const headroom = elsewhere.reduce((sum, upstream) => sum + Math.max(0, headroomOf(upstream)), 0);
    const optimum = elsewhere.reduce((sum, { bestInFlight }) => sum + bestInFlight, 0);
    return headroom >= Math.max(spareRequests, spareShare * optimum);
};

/** Returns the upstreams with a current report, or all if there are none. */
const preferCurrent = (upstreams: readonly UpstreamFacts[]): readonly UpstreamFacts[] => {
    const current = upstreams.filter(hasCurrentReport);
    return current.length > 0 ? current : upstreams;
};

const stay = (home: readonly UpstreamFacts[], reason: PlacementReason): Placement => ({
    candidates: home,
    scope: "home",
    reason,
});

/** Permits home and a sample of the destinations. */
const leave = (input: PlacementInput, destinations: readonly UpstreamFacts[], reason: PlacementReason): Placement => {
    const sample = sampleDestinations(input, destinations);
    return {
        candidates: input.upstreams.filter(upstream => upstream.sameZone || sample.includes(upstream)),
        scope: "all",
        reason,
    };
};

/** Permits all upstreams elsewhere, and those at home only if no zone has headroom. */
const leaveHome = (input: PlacementInput, elsewhere: readonly UpstreamFacts[]): Placement => ({
    candidates: elsewhere.length === 0 ? input.upstreams : elsewhere,
    scope: "all",
    reason: "no-upstream",
});

/**
 * Samples the best destinations by headroom. Those with a current report are preferred, because the others may have become
 * full.
 */
const sampleDestinations = ({ draws }: PlacementInput, destinations: readonly UpstreamFacts[]): readonly UpstreamFacts[] => {
    const eligible = preferCurrent(destinations);
    const longestTime = equalTimeFactor * Math.min(...eligible.map(expectedCompletionTime));
    const best = eligible.filter(upstream => expectedCompletionTime(upstream) <= longestTime);
    return sampleByHeadroom(best, draws.slice(firstDraw, firstDraw + sampleSize));
};

/**
 * Whether an upstream may receive the requests of its zone. A suspect one may not: only a part of the upstreams is ejected at
 * the same time, so that those of a lost zone stay suspect.
 */
const isInService = ({ state }: UpstreamFacts): boolean => state !== "draining" && state !== "ejected" && state !== "suspect";

/**
 * Whether the home zone is lost: its upstreams fail and do not respond to probes, while others do. Missing responses alone are
 * not enough, because an instance that is short of processor time misses them too.
 */
const isLost = ({ upstreams, isHomeSilent }: PlacementInput, elsewhere: readonly UpstreamFacts[]): boolean =>
    isHomeSilent && elsewhere.some(hasCurrentReport)
    && upstreams.some(({ sameZone, failureRate }) => sameZone && failureRate >= recentFailureRate);

/** Whether an upstream accepts a request of this instance now. */
const isReady = (upstream: UpstreamFacts): boolean => isEligible(upstream) && upstream.shareInMs <= 0;

const hasHeadroom = (upstream: UpstreamFacts): boolean => isReady(upstream) && headroomOf(upstream) >= minimumHeadroom;

/**
 * Whether a request sent to an upstream now is likely to meet its target. An overdue request cannot meet it anywhere, so
 * that headroom is enough; so it is without a target.
 *
 * A current report states the slowdown. Without one, the expected slowdown may stand for a normal or for a much slower upstream.
 */
const isInTime = (input: PlacementInput, upstream: UpstreamFacts): boolean => {
    const { targetMs, targetLeftMs } = input.request;
    if (upstream.shedRate >= unreliableShedRate) {
        return false;
    }
    if (targetMs <= 0 || targetLeftMs < 0) {
        return true;
    }
    const slowest = targetLeftMs / normalServiceMs(input);
    const accepted = hasCurrentReport(upstream) ? slowest : 1 + acceptedSlowdownShare * (slowest - 1);
    return slowest >= 1 && expectedServiceTime(upstream) <= accepted;
};

/** Whether a request may wait until an upstream has headroom and is then still expected to meet its target. */
const canWaitFor = (input: PlacementInput, upstream: UpstreamFacts): boolean => {
    const { targetMs, targetLeftMs, holdLeftMs, waitMs } = input.request;
    const readyInMs = Math.max(waitMs, headroomWaitMs(upstream, input.residenceMs), upstream.restMs, upstream.shareInMs);
    return readyInMs <= holdLeftMs && (targetMs <= 0 || readyInMs + serviceMs(input, upstream) <= targetLeftMs);
};

/** Expected service time with an allowance for its spread, in milliseconds. */
const serviceMs = (input: PlacementInput, upstream: UpstreamFacts): number =>
    normalServiceMs(input) * expectedServiceTime(upstream);

/** Service time of an idle upstream of normal speed with an allowance for its spread, in milliseconds; assumed if it is unknown. */
const normalServiceMs = ({ request, spread }: PlacementInput): number =>
    request.usualMs > 0 ? request.usualMs * spread : request.targetMs * assumedResponseShare;
