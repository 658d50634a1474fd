/**
 * The chooser for upstreams that may shed requests for other reasons than load.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { allIndexes, selectLowest } from "./compare.js";
import { costWithoutZone, expectedResponseTime, selectionCost } from "./expected-time-chooser.js";

/** Least probability that is assumed for a request not to be shed, so that costs stay finite. */
const minimumAcceptance = 0.05;

/**
 * Exponent of the acceptance probability in the cost of a retry. A retry is rarely followed by another one, so being shed matters
 * more than for a first attempt. With 4, retries go to upstreams that take seven times as long and are late.
 */
const retryExponent = 2;

/** Headroom from which an upstream is preferred for a retry, in requests; policies hold requests below it. */
const minimumRetryHeadroom = 0.5;

/**
 * Selects the candidate with the lowest cost of the chooser `expected-time`, divided by the probability that the candidate does
 * not shed the request. Without any shed it selects the same candidate as `expected-time`.
 */
export class ExpectedCompletionChooser implements Chooser {
    readonly name: ChooserName = "expected-completion";

    select(input: ChooserInput): Selection {
        const { candidates, isPlaced = false, rank } = input;
        if (rank !== undefined) {
            return selectLowest(input, allIndexes(input), rank);
        }
        if (!input.isRetry || candidates.every(({ shedRate }) => shedRate === 0)) {
            return selectLowest(input, allIndexes(input), candidate => completionCost(candidate, isPlaced, 1));
        }
        const withHeadroom = allIndexes(input).filter(index => {
            const candidate = candidates[index];
            return candidate !== undefined && candidate.bestInFlight - candidate.expectedInFlight >= minimumRetryHeadroom;
        });
        const indexes = withHeadroom.length > 0 ? withHeadroom : allIndexes(input);
        return selectLowest(input, indexes, candidate => completionCost(candidate, isPlaced, retryExponent));
    }

    readonly cost = (candidate: UpstreamFacts): number => completionCost(candidate, false, 1);
}

/** Returns the expected response time divided by the probability that the upstream does not shed the request. */
export const expectedCompletionTime = (upstream: UpstreamFacts): number =>
    expectedResponseTime(upstream) / acceptanceOf(upstream);

/** Returns the cost of an attempt; the zone of the candidate does not count if a zone placement has selected it. */
const completionCost = (candidate: UpstreamFacts, isPlaced: boolean, exponent: number): number =>
    divideBy(isPlaced ? costWithoutZone(candidate) : selectionCost(candidate), acceptanceOf(candidate) ** exponent);

const acceptanceOf = ({ shedRate }: UpstreamFacts): number => Math.max(minimumAcceptance, 1 - shedRate);

/** Increases a cost as the acceptance decreases. A cost can be below 0, because an unused permit lowers it. */
const divideBy = (cost: number, acceptance: number): number => cost >= 0 ? cost / acceptance : cost * acceptance;
