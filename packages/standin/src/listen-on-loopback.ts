/**
 * Listening on ports that stay free while their server does not listen.
 *
 * @packageDocumentation
 */

import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";

/** Range above the fixed ports of soaks and benches, and below those that Linux gives to listeners without one. */
const firstPort = 24_000;
const portCount = 8_000;

/** Ports between those of processes that were started one after the other. */
const portsPerProcess = 40;

let offered = 0;

/** Options of {@link listenOnLoopback}. */
export interface ListenOptions {
    /** The port; 0 for one that is free, and stays so while the server does not listen. */
    readonly port?: number;
    /** Maximum number of pending connections. */
    readonly backlog?: number;
}

/**
 * Starts listening. Servers that stop for a time must not lose their port: requests would arrive at the wrong server.
 *
 * @returns The port.
 * @throws The error of the system if it is impossible to listen.
 */
export const listenOnLoopback = async (server: Server, { port = 0, backlog }: ListenOptions = {}): Promise<number> => {
    for (let attempts = 1;; attempts += 1) {
        try {
            server.listen({ port: port > 0 ? port : nextPort(), host: "127.0.0.1", backlog });
            await once(server, "listening");
            return (server.address() as AddressInfo).port;
        }
        catch (thrown) {
            if (port > 0 || attempts === portCount || (thrown as NodeJS.ErrnoException).code !== "EADDRINUSE") {
                throw thrown;
            }
        }
    }
};

const nextPort = (): number => firstPort + (process.pid * portsPerProcess + offered++) % portCount;
