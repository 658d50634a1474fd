/**
 * Clients of other instances.
 *
 * @packageDocumentation
 */

import type { Client } from "@connectrpc/connect";
import type { Clock } from "@harrierhitch/core";
import type { PeerService } from "@harrierhitch/protocol";

/** Where an instance is reached by other instances. */
export interface PeerAddress {
    readonly address: string;
    readonly port: number;
}

/** Opens clients of other instances; the way to replace the network in tests. */
export interface PeerClients {
    /** The client of the instance at an address. */
    to(peer: PeerAddress): Client<typeof PeerService>;
    /** Closes connections that are no longer needed. */
    close(): void;
}

/**
 * Makes a call that is given up after a time, on the instance's clock.
 *
 * @param clock - The clock.
 * @param timeoutMs - Longest time.
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
