/**
 * How one exchange between two instances is done, and what it showed.
 *
 * @packageDocumentation
 */

import type { ExchangeRequest, ExchangeResponse, Role } from "@harrierhitch/protocol";

/** How an exchange is done. */
export interface ExchangeCallOptions {
    /** Longest time for which the other instance may wait for something new to tell. */
    readonly longPollMs?: number;
    /** Whether observations are left out. */
    readonly isDelta?: boolean;
    /** What the other instance is asked as. */
    readonly role?: Role;
    /** The other instance, where it is known. */
    readonly receiver?: string;
}

/** What an exchange showed of the other instance. */
export interface ExchangeResult {
    readonly instance: string;
    /** Age of what it knows, on this instance's clock; infinite where it lacks something that this instance knows. */
    readonly stalenessMs: number;
}

/** Sends a request to one instance. */
export type SendExchange = (request: ExchangeRequest) => Promise<ExchangeResponse>;
