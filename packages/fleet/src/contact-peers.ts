/**
 * Hearing other instances at the start.
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
    /** Longest wait. */
    readonly timeoutMs: number;
    /** Ends the wait. */
    readonly signal: AbortSignal;
}

/** Members that are asked at the start. */
const linksAtStart = 4;

/** Pause between two rounds of asking at the start. */
const hearRetryMs = 50;

/**
 * Asks members, or seeds while none is known, until one answers.
 *
 * @param options - Whom to ask, and for how long.
 * @returns Whether one was heard, or there is nobody to hear.
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
        const heard = await Promise.all(peers.slice(0, linksAtStart).map(peer => calls.exchangeWith(peer, "search")));
        if (heard.includes(true)) {
            return true;
        }
        await sleep(clock, hearRetryMs, signal);
    }
    return false;
};
