/**
 * Options and result of one exchange with another instance.
 *
 * @packageDocumentation
 */

import type { ExchangeRequest, ExchangeResponse, Role } from "@harrierhitch/protocol";

export interface ExchangeCallOptions {
    /** Maximum time in milliseconds for which the other instance may wait for a change before it responds. */
    readonly longPollMs?: number;
    /** Whether to omit drain messages, earlier limits, and crash records that the other instance doesn't need. */
    readonly isDelta?: boolean;
    /** The role in which the other instance is polled. */
    readonly role?: Role;
    /** Id of the other instance, if known. */
    readonly receiver?: string;
}

export interface ExchangeResult {
    /** Id of the other instance. */
    readonly instance: string;
    /** Staleness of the other instance's state in milliseconds; infinite if unconfirmed or if this instance lacks its changes. */
    readonly stalenessMs: number;
    /** Time that the request and the response were under way, in milliseconds. */
    readonly transitMs: number;
    /** Whether this instance reads a document from the platform, so that its state is behind for now. */
    readonly isReadDirectly: boolean;
}

export type SendExchange = (request: ExchangeRequest) => Promise<ExchangeResponse>;
