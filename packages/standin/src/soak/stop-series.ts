/**
 * The signals of a planned stop in a soak.
 *
 * @packageDocumentation
 */

import type { PlannedFault } from "./fault-schedule.js";

/** A planned stop: the time that the process has, and signals that come before, with and after the first SIGTERM. */
export interface StopSeries {
    /** Time from the first SIGTERM until the process is killed, in milliseconds. */
    readonly stopMs: number;
    readonly signals: readonly NodeJS.Signals[];
}

const shortestStopMs = 2000;
const longestStopMs = 30_000;

const series: readonly (readonly NodeJS.Signals[])[] = [
    ["SIGTERM"],
    ["SIGTERM", "SIGTERM"],
    ["SIGHUP", "SIGTERM", "SIGHUP"],
    ["SIGTERM", "SIGINT", "SIGHUP", "SIGTERM"],
    ["SIGHUP", "SIGHUP", "SIGTERM", "SIGTERM", "SIGHUP"],
];

/** What the numbers of a fault have beyond this resolution selects nothing else, so that it can be used without further draws. */
const resolution = 1000;

/** Returns the series of a planned fault; the same fault has the same series. */
export const stopSeriesOf = ({ durationMs, target }: Pick<PlannedFault, "durationMs" | "target">): StopSeries => {
    const draw = durationMs * resolution % 1;
    const signals = series[Math.floor(target * resolution) % series.length] ?? ["SIGTERM"];
    return { stopMs: Math.round(shortestStopMs * (longestStopMs / shortestStopMs) ** draw), signals };
};
