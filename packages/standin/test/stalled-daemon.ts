/**
 * Callers that come and leave while the process of the daemon stands still.
 */

import { fileURLToPath } from "node:url";
import { Worker } from "node:worker_threads";
import type { LeavingCall } from "./leaving-caller.js";

/** Indexes and values of the flags that the threads share. */
export const flags = { isDone: 0, count: 1 } as const;

/** Default of the shortest standstill, in milliseconds. */
const defaultStallMs = 400;

/**
 * Blocks the event loop of this thread until callers in another thread have connected, sent and left. Callers with TLS connect
 * before.
 *
 * @param port - Port of the daemon, which runs in this thread.
 * @param calls - One for each connection.
 * @param stallMs - Shortest standstill after the calls, in milliseconds.
 */
export const stallDuringCalls = async (
    port: number,
    calls: readonly LeavingCall[],
    stallMs = defaultStallMs,
): Promise<void> => {
    const shared = new Int32Array(new SharedArrayBuffer(flags.count * Int32Array.BYTES_PER_ELEMENT));
    const file = fileURLToPath(new URL("stalled-daemon-callers.js", import.meta.url));
    const worker = new Worker(file, { workerData: { port, calls, shared } });
    await new Promise(resolve => worker.once("message", resolve));
    worker.postMessage("start");
    Atomics.wait(shared, flags.isDone, 0);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, stallMs);
    await worker.terminate();
};
