/**
 * The choosers by name.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { RandomSource } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { AdaptiveChooser } from "./adaptive-chooser.js";
import type { Chooser } from "./chooser.js";
import { ExpectedCompletionChooser } from "./expected-completion-chooser.js";
import { ExpectedTimeChooser, selectionCost } from "./expected-time-chooser.js";
import {
    LatencyAverageChooser,
    LeastOutstandingChooser,
    LowestRankChooser,
    RandomChooser,
    RoundRobinChooser,
    TwoChoicesChooser,
} from "./standard-choosers.js";

export const choosers: Readonly<Record<ChooserName, Chooser>> = {
    "adaptive": new AdaptiveChooser(),
    "expected-completion": new ExpectedCompletionChooser(),
    "expected-time": new ExpectedTimeChooser(),
    "lowest-rank": new LowestRankChooser(),
    "two-choices": new TwoChoicesChooser(),
    "least-outstanding": new LeastOutstandingChooser(),
    "latency-average": new LatencyAverageChooser(),
    "round-robin": new RoundRobinChooser(),
    "random": new RandomChooser(),
};

/** Returns the cost by which upstreams are selected for probes: that of the chooser, or else of `expected-time`. */
export const probeCostOf = (chooser: ChooserName): (candidate: UpstreamFacts) => number =>
    choosers[chooser].cost ?? selectionCost;

/** Draws the random numbers that a decision needs for any chooser. */
export const drawNumbers = (
    random: RandomSource,
): readonly number[] => [random.next(), random.next(), random.next(), random.next()];
