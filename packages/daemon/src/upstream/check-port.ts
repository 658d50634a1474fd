/**
 * Looking whether anyone listens at an upstream's address.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import { connect } from "node:net";

/**
 * What a look at a port shows.
 *
 * - `open`: a connection came up.
 * - `closed`: the machine refused it: no process listens there.
 * - `silent`: nothing came back in time, which proves nothing.
 */
export type PortState = "open" | "closed" | "silent";

/** Time for which the machine is given to answer, in milliseconds: many round trips, and less than callers notice. */
const patienceMs = 100;

/**
 * Opens a connection and closes it at once, without asking for anything.
 *
 * @param upstream - Where to look.
 * @returns What the look shows; never rejects.
 */
export const checkPort = ({ address, port }: Upstream): Promise<PortState> =>
    new Promise(resolve => {
        const socket = connect({ host: address, port });
        const end = (state: PortState): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(state);
        };
        const timer = setTimeout(() => end("silent"), patienceMs);
        socket.once("connect", () => end("open"));
        socket.on("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED" ? "closed" : "silent"));
    });
