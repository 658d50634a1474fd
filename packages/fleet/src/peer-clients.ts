/**
 * Clients for calls to other instances.
 *
 * @packageDocumentation
 */

import type { Client } from "@connectrpc/connect";
import type { Clock } from "@harrierhitch/core";
import type { PeerService } from "@harrierhitch/protocol";

/** The address at which an instance accepts calls of other instances. */
export interface PeerAddress {
    readonly address: string;
    readonly port: number;
}

/** Creates clients for other instances; tests replace it to simulate the network. */
export interface PeerClients {
    /** Returns the client for the instance at an address. */
    to(peer: PeerAddress): Client<typeof PeerService>;
    close(): void;
}

/**
 * Makes a call with a timeout on the instance's clock.
 *
 * @param clock - The clock.
 * @param timeoutMs - Timeout in milliseconds.
 * @param call - The call, which must honour the signal.
 */
export const callWithTimeout = async <Response>(
    clock: Clock,
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<Response>,
): Promise<Response> => {
    const controller = new AbortController();
    const timer = clock.after(timeoutMs, () => controller.abort());
    try {
        return await call(controller.signal);
    }
    finally {
        timer.cancel();
    }
};
