/**
 * The thread of the callers of {@link stallDuringCalls}.
 */

import { parentPort, workerData } from "node:worker_threads";
import { leave, type LeavingCall, openConnection } from "./leaving-caller.js";
import { flags } from "./stalled-daemon.js";

interface CallersData {
    readonly port: number;
    readonly calls: readonly LeavingCall[];
    readonly shared: Int32Array;
}

const { port, calls, shared } = workerData as CallersData;

/** Time for the kernel to deliver what was written before a reset, in milliseconds. */
const deliveryMs = 20;

const call = ({ text, leaving, isTls }: LeavingCall): Promise<void> =>
    new Promise(resolve => {
        const socket = openConnection(port, isTls);
        socket.write(text, () =>
            setTimeout(() => {
                leave(socket, leaving);
                resolve();
            }, deliveryMs));
    });

parentPort?.once("message", () => {
    void Promise.all(calls.map(call)).then(() => {
        setTimeout(() => {
            Atomics.store(shared, flags.isDone, 1);
            Atomics.notify(shared, flags.isDone);
        }, deliveryMs);
    });
});
parentPort?.postMessage("ready");
