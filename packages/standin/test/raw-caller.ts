/**
 * A caller that sends raw bytes over TCP.
 */

import { connect, type Socket } from "node:net";

/** Sends text and returns everything received until the other side closes the connection or `isComplete` returns true. */
export const sendRaw = (port: number, text: string, isComplete: (received: string) => boolean = () => false): Promise<string> =>
    new Promise((resolve, reject) => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        socket.on("error", reject);
        socket.on("close", () => resolve(received));
        socket.on("data", data => {
            received += data.toString("latin1");
            if (isComplete(received)) {
                socket.destroy();
            }
        });
    });

/** Opens a connection, sends text on it and leaves it open. */
export const openCaller = (port: number, text: string): Socket => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.on("error", () => undefined);
    return socket;
};
