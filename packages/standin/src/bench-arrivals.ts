/**
 * The arrival process of the decisions benchmark, which is the same for every chooser.
 *
 * @packageDocumentation
 */

import { SeededRandom } from "@harrierhitch/core";
import { build } from "hdr-histogram-js";
import { Pool, request } from "undici";
import { behaviourPath } from "./upstream-standin.js";

/** Options of {@link runArrivals}. */
export interface ArrivalsOptions {
    /** Ports for callers of the entry instances. */
    readonly callers: readonly number[];
    readonly upstreamPorts: readonly number[];
    readonly perSecond: number;
    readonly seconds: number;
}

/** Result of a run. */
export interface ArrivalsResult {
    readonly sent: number;
    readonly correct: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly failed: number;
    /** Number of non-repeatable requests that ran more than once. */
    readonly doubled: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
}

let runNumber = 0;

/** Sends requests to random instances as a Poisson process with a fixed seed; one in five is not repeatable. */
export const runArrivals = async ({ callers, upstreamPorts, perSecond, seconds }: ArrivalsOptions): Promise<ArrivalsResult> => {
    const random = new SeededRandom(42);
    const pools = callers.map(port => new Pool(`http://127.0.0.1:${port}`, { connections: 200, pipelining: 1 }));
    const latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
    const counts = { correct: 0, notRun: 0, unknown: 0, failed: 0 };
    const pending = new Set<Promise<void>>();
    const prefix = `run-${runNumber++}`;
    const startMs = performance.now();
    let dueMs = 0;
    let sent = 0;
    const sendOne = async (pool: Pool, number: number, isIssue: boolean, sentMs: number): Promise<void> => {
        const headers = { "x-request-number": `${prefix}-${number}`, "x-workspace": `workspace-${number % 4}` };
        try {
            const response = await pool.request({
                method: isIssue ? "POST" : "GET",
                path: isIssue ? "/issue" : "/read",
                headers,
                body: isIssue ? "seat" : null,
            });
            await response.body.dump();
            const outcome = response.headers["x-request-outcome"];
            if (response.statusCode === 200) {
                counts.correct += 1;
                latencies.recordValue(Math.round((performance.now() - sentMs) * 1000));
            }
            else {
                counts[outcome === "not-run" ? "notRun" : outcome === "unknown" ? "unknown" : "failed"] += 1;
            }
        }
        catch {
            counts.failed += 1;
        }
    };
    while (dueMs < seconds * 1000) {
        const nowMs = performance.now() - startMs;
        while (dueMs <= nowMs && dueMs < seconds * 1000) {
            const pool = pools[Math.floor(random.next() * pools.length)];
            const isIssue = random.next() < 0.2;
            if (pool !== undefined) {
                const task = sendOne(pool, sent, isIssue, startMs + dueMs).finally(() => pending.delete(task));
                pending.add(task);
            }
            sent += 1;
            dueMs += -Math.log(1 - random.next()) * 1000 / perSecond;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    await Promise.all(pending);
    await Promise.all(pools.map(pool => pool.destroy()));
    const latencyMs = (percentile: number): number => latencies.getValueAtPercentile(percentile) / 1000;
    return {
        sent,
        ...counts,
        doubled: await countDoubled(prefix, upstreamPorts),
        p50Ms: latencyMs(50),
        p99Ms: latencyMs(99),
        p999Ms: latencyMs(99.9),
    };
};

/** Returns the number of non-repeatable requests that ran more than once, summed over all upstreams. */
const countDoubled = async (prefix: string, ports: readonly number[]): Promise<number> => {
    const runs = new Map<string, number>();
    for (const port of ports) {
        const response = await request(`http://127.0.0.1:${port}${behaviourPath}?issues`);
        const state = await response.body.json() as { readonly issues: Readonly<Record<string, number>>; };
        Object.entries(state.issues).filter(([key]) => key.startsWith(`${prefix}-`)).forEach(([key, count]) => {
            runs.set(key, (runs.get(key) ?? 0) + count);
        });
    }
    return [...runs.values()].filter(count => count > 1).length;
};
