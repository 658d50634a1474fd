/** Loopback addresses and ports that nothing else uses. */

import { createServer } from "node:net";

const canListen = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

const random = (low, high) => low + Math.floor(Math.random() * (high - low + 1));

/** Returns a loopback address on which all given ports are free. */
export const freeHost = async ports => {
    for (;;) {
        const host = `127.${random(1, 250)}.${random(1, 250)}.${random(1, 250)}`;
        const free = await Promise.all(ports.map(port => canListen(host, port)));
        if (free.every(Boolean)) {
            return host;
        }
    }
};

export const sleep = delayMs => new Promise(resolve => setTimeout(resolve, delayMs));

/** Waits until a condition holds; returns whether it did in time. */
export const waitUntil = async (condition, timeoutMs) => {
    for (const endMs = Date.now() + timeoutMs; !await condition();) {
        if (Date.now() > endMs) {
            return false;
        }
        await sleep(20);
    }
    return true;
};
