/**
 * The well-known choosers, which the adaptive one is measured against.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { all, lowest, pick, sample } from "./compare.js";

const noScores: readonly number[] = [];

/** Takes the candidates in turn. */
export class RoundRobinChooser implements Chooser {
    readonly name: ChooserName = "round-robin";

    select(input: ChooserInput): Selection {
        return { index: input.sequence % input.candidates.length, scores: noScores };
    }
}

/** Takes any candidate. */
export class RandomChooser implements Chooser {
    readonly name: ChooserName = "random";

    select(input: ChooserInput): Selection {
        return { index: pick(input.draws[0], input.candidates.length), scores: noScores };
    }
}

/** Takes the candidate with the fewest requests in flight from this instance. */
export class LeastOutstandingChooser implements Chooser {
    readonly name: ChooserName = "least-outstanding";

    select(input: ChooserInput): Selection {
        return lowest(input, all(input), inFlightOf);
    }
}

/** Takes the less busy of two random candidates; by the policy's rank where it has one. */
export class TwoChoicesChooser implements Chooser {
    readonly name: ChooserName = "two-choices";

    select(input: ChooserInput): Selection {
        return lowest(input, sample(input, 2), input.rank ?? inFlightOf);
    }
}

/** Takes the candidate with the lowest decayed latency, counting requests in flight. */
export class LatencyAverageChooser implements Chooser {
    readonly name: ChooserName = "latency-average";

    select(input: ChooserInput): Selection {
        return lowest(input, all(input), candidate => candidate.latencyMs * (candidate.inFlight + 1));
    }
}

/** Takes the candidate with the lowest rank of the policy; without a rank, the fewest in flight. */
export class LowestRankChooser implements Chooser {
    readonly name: ChooserName = "lowest-rank";

    select(input: ChooserInput): Selection {
        return lowest(input, all(input), input.rank ?? inFlightOf);
    }
}

const inFlightOf = (candidate: UpstreamFacts): number => candidate.inFlight;
