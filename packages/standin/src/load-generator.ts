/**
 * Load generators of the benchmarks.
 *
 * @packageDocumentation
 */

import { build, type Histogram } from "hdr-histogram-js";
import { type Dispatcher, Pool } from "undici";

/** Result of a load run. */
export interface LoadResult {
    readonly requests: number;
    readonly failures: number;
    readonly seconds: number;
    /** Latencies in microseconds. */
    readonly latencies: Histogram;
}

/** Creates a histogram of latencies up to one minute, in microseconds. */
const createHistogram = (): Histogram =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });

/** Sends a GET request and returns whether it was answered completely, with status 200. */
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
 * Sends requests over a fixed number of connections, the next one as soon as the previous one has ended.
 *
 * @param url - URL to request.
 * @param connections - Number of connections, each with one request at a time.
 * @param seconds - Duration of the run.
 */
export const closedLoop = async (url: string, connections: number, seconds: number): Promise<LoadResult> => {
    const { origin, pathname } = new URL(url);
    const pool = new Pool(origin, { connections, pipelining: 1 });
    const latencies = createHistogram();
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
    const elapsedSeconds = (performance.now() - startMs) / 1000;
    await pool.close();
    return { requests: latencies.totalCount, failures, seconds: elapsedSeconds, latencies };
};

/**
 * Sends requests at a fixed rate, independent of the responses. Latency is measured from the time at which a request was
 * due, so that it includes the effect of stalls.
 *
 * @param url - URL to request.
 * @param perSecond - Requests per second.
 * @param seconds - Duration of the run.
 */
export const openLoop = async (url: string, perSecond: number, seconds: number): Promise<LoadResult> => {
    const { origin, pathname } = new URL(url);
    const pool = new Pool(origin, { connections: 100, pipelining: 1 });
    const latencies = createHistogram();
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

/** Returns a percentile of the latency in milliseconds. */
export const percentileMs = (result: LoadResult, percentile: number): number =>
    result.latencies.getValueAtPercentile(percentile) / 1000;
