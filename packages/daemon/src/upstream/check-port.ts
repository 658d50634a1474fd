/**
 * Checks whether a process listens at an upstream's address.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import { asError } from "@harrierhitch/core";
import { Socket } from "node:net";

/**
 * Result of a port check.
 *
 * - `open`: the connection was established.
 * - `closed`: the connection was refused, so no process listens there.
 * - `silent`: no response in time; the state is unknown.
 */
export type PortState = "open" | "closed" | "silent";

/** Connect timeout, in milliseconds. */
const connectTimeoutMs = 100;

/**
 * Opens a connection and closes it at once without sending a request.
 *
 * @param upstream - The upstream to check.
 * @returns The state of its port; never rejects.
 */
export const checkPort = ({ address, port }: Upstream): Promise<PortState> =>
    new Promise(resolve => {
        const socket = new Socket();
        const finish = (state: PortState): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(state);
        };
        // A connection that was established while this process was busy is reported first.
        const timer = setTimeout(() => setImmediate(() => finish("silent")), connectTimeoutMs);
        const fail = (error: NodeJS.ErrnoException): void => finish(error.code === "ECONNREFUSED" ? "closed" : "silent");
        socket.once("connect", () => finish("open"));
        socket.on("error", fail);
        try {
            socket.connect({ host: address, port });
        }
        catch (thrown) {
            fail(asError(thrown));
        }
    });
