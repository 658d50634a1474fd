/**
 * The faults of a soak, drawn from a seed: the same seed gives the same faults at the same times.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";

/** Kinds of faults. */
export const faultKinds = [
    "pause",
    "kill",
    "stop",
    "upstream-hangs",
    "upstream-resets",
    "upstream-fails",
    "upstream-slow",
    "upstream-rests",
    "upstream-leaves",
    "upstream-limits",
    "way-slow",
    "way-deaf",
    "way-mute",
    "way-reset",
    "platform-fails",
    "platform-garbled",
    "platform-deaf",
    "publish",
    "publish-older",
] as const;

/** Kind of a fault. */
export type FaultKind = typeof faultKinds[number];

/** One fault. */
export interface PlannedFault {
    readonly kind: FaultKind;
    /** When it begins, from the start of the soak. */
    readonly atMs: number;
    readonly forMs: number;
    /** Draws whom it strikes: at least 0 and below 1. */
    readonly target: number;
}

/** Mean time between the beginnings of two faults, in milliseconds; most last longer, so they overlap. */
const meanGapMs = 350;

/** Longest fault, in milliseconds. */
const longestMs = 1500;

/**
 * Draws the faults.
 *
 * @param random - Seeded random numbers.
 * @param forMs - For how long faults begin.
 */
export const drawFaults = (random: RandomSource, forMs: number): readonly PlannedFault[] => {
    const faults: PlannedFault[] = [];
    for (let atMs = 500; atMs < forMs; atMs += meanGapMs * 2 * random.next()) {
        const kind = faultKinds[Math.floor(random.next() * faultKinds.length)] ?? "pause";
        faults.push({ kind, atMs, forMs: longestMs * (0.2 + 0.8 * random.next()), target: random.next() });
    }
    return faults;
};
