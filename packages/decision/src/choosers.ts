/**
 * The choosers by name.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { RandomSource } from "@harrierhitch/core";
import { AdaptiveChooser } from "./adaptive-chooser.js";
import type { Chooser } from "./chooser.js";
import { ExpectedTimeChooser } from "./expected-time-chooser.js";
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
    "expected-time": new ExpectedTimeChooser(),
    "lowest-rank": new LowestRankChooser(),
    "two-choices": new TwoChoicesChooser(),
    "least-outstanding": new LeastOutstandingChooser(),
    "latency-average": new LatencyAverageChooser(),
    "round-robin": new RoundRobinChooser(),
    "random": new RandomChooser(),
};

/** Draws the random numbers that a decision needs for any chooser. */
export const drawNumbers = (
    random: RandomSource,
): readonly number[] => [random.next(), random.next(), random.next(), random.next()];
