/**
 * The calls of this instance to others, and what their ends say.
 *
 * @packageDocumentation
 */

import { asError, type Clock } from "@harrierhitch/core";
import { type Member, Role } from "@harrierhitch/protocol";
import type { FleetTimes } from "@harrierhitch/published";
import type { DistributionRoles } from "./distribution-roles.js";
import type { ExchangeReason } from "./exchange-reason.js";
import type { Exchange } from "./exchange.js";
import type { Link } from "./links.js";
import { callWithTimeout, type PeerAddress, type PeerClients } from "./peer-clients.js";

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
    readonly clock: Clock;
    readonly clients: PeerClients;
    readonly times: FleetTimes;
    readonly exchange: Exchange;
    readonly roles: DistributionRoles;
    /** Told of each exchange that is begun. */
    readonly onExchange: (reason: ExchangeReason) => void;
    /** Told of a call that failed. */
    readonly onFailure: (peer: PeerAddress, error: Error) => void;
}

/** Every so many questions to a source tell observations; what is new wakes the links anyway. */
const questionsBetweenObservations = 3;

/** Exchanges news with other instances. */
export class PeerCalls {
    private questions = 0;
    /** When a source last answered that it knows no better than this instance. */
    private toldStaleAtMs = -Infinity;

    /** @param options - Clients, times and listeners. */
    constructor(private readonly options: PeerCallsOptions) {}

    /** Whether a source has answered lately that it knows no better than this instance. */
    get isSourceStale(): boolean {
        const { clock, times } = this.options;
        return clock.nowMs() - this.toldStaleAtMs < times.staleAfterMs;
    }

    /**
     * Exchanges news with one instance.
     *
     * @param peer - The instance.
     * @param reason - Why, for counting.
     * @param link - How it is asked; once, without waiting, where there is none.
     * @returns Whether it answered.
     */
    async exchangeWith(
        peer: PeerAddress & Partial<Pick<Member, "instance">>,
        reason: ExchangeReason,
        link?: Link,
    ): Promise<boolean> {
        const { clock, clients, times, exchange, roles, onExchange, onFailure } = this.options;
        onExchange(reason);
        const { waitMs = 0, role = Role.UNSPECIFIED } = link ?? {};
        try {
            const client = clients.to(peer);
            const timeoutMs = times.callTimeoutMs + waitMs;
            const { instance, stalenessMs: ageMs } = await exchange.initiate(
                request => callWithTimeout(clock, timeoutMs, signal => client.exchange(request, { signal })),
                { longPollMs: waitMs, role, receiver: peer.instance ?? "", isDelta: waitMs > 0 && this.isBriefTurn() },
            );
            roles.recordResponse(instance);
            if (role !== Role.UNSPECIFIED && ageMs > times.confirmMs) {
                this.toldStaleAtMs = clock.nowMs();
            }
            return true;
        }
        catch (thrown) {
            onFailure(peer, asError(thrown));
            return false;
        }
    }

    /** Questions to a source come every second or so; observations are told less often. */
    private isBriefTurn(): boolean {
        this.questions += 1;
        return this.questions % questionsBetweenObservations !== 0;
    }
}
