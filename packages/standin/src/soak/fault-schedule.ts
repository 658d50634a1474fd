/**
 * Generates the faults of a soak; the same seed generates the same faults at the same times.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";

/** Kinds of faults; the `way-` faults affect the connections to an upstream, the `cut-` faults the paths of an instance. */
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
    "cut-silent",
    "cut-refusing",
    "cut-new-refused",
    "cut-lossy",
    "platform-fails",
    "platform-garbled",
    "platform-deaf",
    "publish",
    "publish-older",
] as const;

export type FaultKind = typeof faultKinds[number];

export interface PlannedFault {
    readonly kind: FaultKind;
    /** Start of the fault, in milliseconds from the start of the soak. */
    readonly atMs: number;
    /** Duration of the fault, in milliseconds. */
    readonly durationMs: number;
    /** Selects the affected instance or upstream: at least 0 and below 1. */
    readonly target: number;
}

/** Mean time between the starts of two faults, in milliseconds; most faults last longer, so they overlap. */
const meanIntervalMs = 350;

/** Longest duration of a fault, in milliseconds. */
const maximumFaultMs = 1500;

/**
 * Generates faults in the order of their start.
 *
 * @param random - Seeded source of random numbers.
 * @param durationMs - Time within which faults start, in milliseconds.
 */
export const generateFaults = (random: RandomSource, durationMs: number): readonly PlannedFault[] => {
    const faults: PlannedFault[] = [];
    for (let atMs = 500; atMs < durationMs; atMs += meanIntervalMs * 2 * random.next()) {
        const kind = faultKinds[Math.floor(random.next() * faultKinds.length)] ?? "pause";
        faults.push({ kind, atMs, durationMs: maximumFaultMs * (0.2 + 0.8 * random.next()), target: random.next() });
    }
    return faults;
};
