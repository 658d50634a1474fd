/**
 * The thread of the callers of {@link stallDuringCalls}.
 */

import { once } from "node:events";
import type { Socket } from "node:net";
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

const call = async ({ text, leaving }: LeavingCall, socket: Socket): Promise<void> => {
    await new Promise(resolve => socket.write(text, resolve));
    await wait(deliveryMs);
    leave(socket, leaving);
    await wait(deliveryMs);
};

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

/** Opens a TLS connection, whose handshake needs the daemon. */
const openTls = async (): Promise<Socket> => {
    const socket = openConnection(port, true);
    await once(socket, "secureConnect");
    return socket;
};

const tlsSockets = await Promise.all(calls.filter(({ isTls }) => isTls).map(openTls));
parentPort?.once("message", () => {
    void Promise.all(calls.map((each, index) => call(each, tlsSockets[index] ?? openConnection(port, false)))).then(() => {
        Atomics.store(shared, flags.isDone, 1);
        Atomics.notify(shared, flags.isDone);
    });
});
parentPort?.postMessage("ready");
