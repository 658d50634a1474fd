/**
 * Generates the faults of a soak; the same seed generates the same faults at the same times.
 *
 * @packageDocumentation
 */

import { type RandomSource, SeededRandom } from "@harrierhitch/core";

/** Kinds of faults; the `way-` faults affect the connections to an upstream, the `cut-` faults the paths of an instance. */
const mixedKinds = [
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

/** Kinds of faults of a soak of planned stops, with their relative frequency. */
const stopKinds: readonly FaultKind[] = ["stop", "stop", "stop", "upstream-slow", "publish"];

/**
 * All kinds of faults; with `upstream-surplus`, one or more upstreams that are full send surplus answers; with `upstream-unframed`, one
 * sends answers that end with their connection.
 */
export const faultKinds = [...mixedKinds, "upstream-surplus", "upstream-unframed"] as const;

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
const mixedIntervalMs = 350;

/** Mean time between the starts of two faults of a soak of planned stops, in milliseconds. */
const stopIntervalMs = 200;

/** Mean time between the starts of two faults of the kind `upstream-surplus`, in milliseconds. */
const surplusIntervalMs = 1500;

/** Mean time between the starts of two faults of the kind `upstream-unframed`, in milliseconds. */
const unframedIntervalMs = 350;

/** Longest duration of a fault, in milliseconds. */
const maximumFaultMs = 1500;

/** Options of {@link generateFaults}. */
export interface FaultScheduleOptions {
    readonly seed: number;
    /** Time within which faults start, in milliseconds. */
    readonly durationMs: number;
    /** Whether faults of the kind `upstream-surplus` are added; the others are the same without them. */
    readonly surplus: boolean;
    /** Whether faults of the kind `upstream-unframed` are added, beside the same others; false by default. */
    readonly unframed?: boolean;
    /** Whether there are only planned stops, published changes and slow upstreams; false by default. */
    readonly onlyStops?: boolean;
}

/**
 * Generates faults.
 *
 * @param options - Seed, duration and kinds.
 * @returns The faults, each kind in the order of its start.
 */
export const generateFaults = (
    { seed, durationMs, surplus, unframed = false, onlyStops = false }: FaultScheduleOptions,
): readonly PlannedFault[] => [
    ...generate(new SeededRandom(seed), {
        durationMs,
        meanIntervalMs: onlyStops ? stopIntervalMs : mixedIntervalMs,
        kinds: onlyStops ? stopKinds : mixedKinds,
    }),
    ...(surplus
        ? generate(new SeededRandom(seed + 3), { durationMs, meanIntervalMs: surplusIntervalMs, kinds: ["upstream-surplus"] })
        : []),
    ...(unframed
        ? generate(new SeededRandom(seed + 4), { durationMs, meanIntervalMs: unframedIntervalMs, kinds: ["upstream-unframed"] })
        : []),
];

interface GenerateOptions {
    readonly durationMs: number;
    readonly meanIntervalMs: number;
    readonly kinds: readonly FaultKind[];
}

const generate = (random: RandomSource, { durationMs, meanIntervalMs, kinds }: GenerateOptions): readonly PlannedFault[] => {
    const faults: PlannedFault[] = [];
    for (let atMs = 500; atMs < durationMs; atMs += meanIntervalMs * 2 * random.next()) {
        const kind = kinds[Math.floor(random.next() * kinds.length)] ?? "pause";
        faults.push({ kind, atMs, durationMs: maximumFaultMs * (0.2 + 0.8 * random.next()), target: random.next() });
    }
    return faults;
};
