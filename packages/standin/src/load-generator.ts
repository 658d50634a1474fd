/**
 * Load for benchmarks: bounded in requests and time, with histograms by a library.
 *
 * @packageDocumentation
 */

import { build, type Histogram } from "hdr-histogram-js";
import { type Dispatcher, Pool } from "undici";

/** What a run of load found. */
export interface LoadResult {
    readonly requests: number;
    readonly failures: number;
    readonly seconds: number;
    /** Latencies in microseconds. */
    readonly latencies: Histogram;
}

/** Latencies are recorded up to a minute, in microseconds. */
const newHistogram = (): Histogram =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });

/** Sends one GET and resolves with whether the whole answer was a 200. */
const getOnce = (pool: Pool, path: string): Promise<boolean> =>
    new Promise(resolve => {
        let status = 0;
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: () => undefined,
            onResponseStart: (_, code) => {
                status = code;
            },
            onResponseData: () => undefined,
            onResponseEnd: () => resolve(status === 200),
            onResponseError: () => resolve(false),
        };
        pool.dispatch({ method: "GET", path, headers: { "x-workspace": "hall-a" } }, handler);
    });

/**
 * Sends as fast as answers come, over a fixed number of connections.
 *
 * @param url - Where to.
 * @param connections - Number of connections, each with one request at a time.
 * @param seconds - How long.
 */
export const closedLoop = async (url: string, connections: number, seconds: number): Promise<LoadResult> => {
    const { origin, pathname } = new URL(url);
    const pool = new Pool(origin, { connections, pipelining: 1 });
    const latencies = newHistogram();
    const startMs = performance.now();
    let failures = 0;
    const worker = async (): Promise<void> => {
        while (performance.now() - startMs < seconds * 1000) {
            const sentMs = performance.now();
            failures += await getOnce(pool, pathname) ? 0 : 1;
            latencies.recordValue(Math.round((performance.now() - sentMs) * 1000));
        }
    };
    await Promise.all(Array.from({ length: connections }, worker));
    const took = (performance.now() - startMs) / 1000;
    await pool.close();
    return { requests: latencies.totalCount, failures, seconds: took, latencies };
};

/**
 * Sends at a fixed rate whatever the answers do; latency counts from the time a
 * request was due, so that a stall is not hidden.
 *
 * @param url - Where to.
 * @param perSecond - Requests a second.
 * @param seconds - How long.
 */
export const openLoop = async (url: string, perSecond: number, seconds: number): Promise<LoadResult> => {
    const { origin, pathname } = new URL(url);
    const pool = new Pool(origin, { connections: 100, pipelining: 1 });
    const latencies = newHistogram();
    const startMs = performance.now();
    const pending = new Set<Promise<void>>();
    const total = Math.floor(perSecond * seconds);
    let failures = 0;
    const sendOne = async (dueMs: number): Promise<void> => {
        failures += await getOnce(pool, pathname) ? 0 : 1;
        latencies.recordValue(Math.round((performance.now() - dueMs) * 1000));
    };
    for (let sent = 0; sent < total;) {
        const due = Math.min(total, Math.floor((performance.now() - startMs) / 1000 * perSecond));
        for (; sent < due; sent += 1) {
            const task = sendOne(startMs + sent * 1000 / perSecond).finally(() => pending.delete(task));
            pending.add(task);
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    await Promise.all(pending);
    await pool.close();
    return { requests: latencies.totalCount, failures, seconds: (performance.now() - startMs) / 1000, latencies };
};

/** A percentile of a result in milliseconds. */
export const percentileMs = (result: LoadResult, percentile: number): number =>
    result.latencies.getValueAtPercentile(percentile) / 1000;
