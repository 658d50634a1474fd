/**
 * The first contact with other instances after a start or a stall.
 *
 * @packageDocumentation
 */

import { type Clock, sleep } from "@harrierhitch/core";
import type { Members } from "./members.js";
import type { PeerCalls } from "./peer-calls.js";
import type { PeerAddress } from "./peer-clients.js";
import type { Seeds } from "./seeds.js";

/** Options of {@link contactPeers}. */
export interface ContactPeersOptions {
    readonly clock: Clock;
    readonly calls: PeerCalls;
    readonly members: Members;
    readonly seeds: Seeds;
    readonly timeoutMs: number;
    /** Ends the wait. */
    readonly signal: AbortSignal;
}

/** Peers that are contacted in parallel. */
const peersPerAttempt = 4;

const retryDelayMs = 50;

/**
 * Exchanges state with members, or with seeds if no member is known, until one responds.
 *
 * @param options - The peers and the timeout.
 * @returns Whether one responded, or there are no peers.
 */
export const contactPeers = async (
    { clock, calls, members, seeds, timeoutMs, signal }: ContactPeersOptions,
): Promise<boolean> => {
    const untilMs = clock.nowMs() + timeoutMs;
    while (clock.nowMs() < untilMs && !signal.aborted) {
        const others: readonly PeerAddress[] = members.others.filter(member => !member.leaving);
        const peers = others.length > 0 ? others : seeds.all;
        if (peers.length === 0) {
            return true;
        }
        const responded = await Promise.all(peers.slice(0, peersPerAttempt).map(peer => calls.exchangeWith(peer, "search")));
        if (responded.includes(true)) {
            return true;
        }
        await sleep(clock, retryDelayMs, signal);
    }
    return false;
};
