/**
 * A caller that sends bytes as a test says.
 */

import { connect, type Socket } from "node:net";

/** Sends text and gives everything that comes back until the other side closes or `enough` says so. */
export const exchange = (port: number, text: string, enough: (received: string) => boolean = () => false): Promise<string> =>
    new Promise((resolve, reject) => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        socket.on("error", reject);
        socket.on("close", () => resolve(received));
        socket.on("data", data => {
            received += data.toString("latin1");
            if (enough(received)) {
                socket.destroy();
            }
        });
    });

/** Opens a connection and sends text on it. */
export const openCaller = (port: number, text: string): Socket => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.on("error", () => undefined);
    return socket;
};
