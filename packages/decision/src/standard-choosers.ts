/**
 * The standard load-balancing choosers.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { allIndexes, drawIndex, sampleIndexes, selectLowest } from "./compare.js";

const noScores: readonly number[] = [];

/** Selects the candidates in turn. */
export class RoundRobinChooser implements Chooser {
    readonly name: ChooserName = "round-robin";

    select(input: ChooserInput): Selection {
        return { index: input.sequence % input.candidates.length, scores: noScores };
    }
}

export class RandomChooser implements Chooser {
    readonly name: ChooserName = "random";

    select(input: ChooserInput): Selection {
        return { index: drawIndex(input.draws[0], input.candidates.length), scores: noScores };
    }
}

/** Selects the candidate with the fewest requests in flight from this instance. */
export class LeastOutstandingChooser implements Chooser {
    readonly name: ChooserName = "least-outstanding";

    select(input: ChooserInput): Selection {
        return selectLowest(input, allIndexes(input), inFlightOf);
    }
}

/** Selects the better of two random candidates, by the policy's rank or else by requests in flight. */
export class TwoChoicesChooser implements Chooser {
    readonly name: ChooserName = "two-choices";

    select(input: ChooserInput): Selection {
        return selectLowest(input, sampleIndexes(input, 2), input.rank ?? inFlightOf);
    }
}

/** Selects the candidate with the lowest average latency, multiplied by its requests in flight. */
export class LatencyAverageChooser implements Chooser {
    readonly name: ChooserName = "latency-average";

    select(input: ChooserInput): Selection {
        return selectLowest(input, allIndexes(input), candidate => candidate.latencyMs * (candidate.inFlight + 1));
    }
}

/** Selects the candidate with the lowest rank of the policy; without a rank, the one with the fewest requests in flight. */
export class LowestRankChooser implements Chooser {
    readonly name: ChooserName = "lowest-rank";

    select(input: ChooserInput): Selection {
        return selectLowest(input, allIndexes(input), input.rank ?? inFlightOf);
    }
}

const inFlightOf = (candidate: UpstreamFacts): number => candidate.inFlight;
