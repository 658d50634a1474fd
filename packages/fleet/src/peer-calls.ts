/**
 * The calls of this instance to other instances, and the handling of their results.
 *
 * @packageDocumentation
 */

import { asError, type Clock, HarrierhitchError } from "@harrierhitch/core";
import { type Member, Role } from "@harrierhitch/protocol";
import type { FleetTimes } from "@harrierhitch/published";
import type { DistributionRoles } from "./distribution-roles.js";
import type { SendExchange } from "./exchange-call.js";
import type { ExchangeReason } from "./exchange-reason.js";
import type { Exchange } from "./exchange.js";
import type { Link } from "./links.js";
import type { Members } from "./members.js";
import { callWithTimeout, type PeerAddress, type PeerClients } from "./peer-clients.js";

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
    readonly clock: Clock;
    readonly clients: PeerClients;
    readonly times: FleetTimes;
    readonly exchange: Exchange;
    readonly members: Members;
    readonly roles: DistributionRoles;
    readonly onExchange: (reason: ExchangeReason) => void;
    readonly onFailure: (peer: PeerAddress, error: Error) => void;
}

/** A response of a reader or relay to a long poll. */
export interface DistributorResponse {
    readonly instance: string;
    /** Staleness of its state in milliseconds; infinite if unconfirmed. */
    readonly stalenessMs: number;
    /** When it arrived, on this instance's clock. */
    readonly atMs: number;
}

/** One of this many long polls carries all pending gossip; the others omit it, because a separate exchange sends new gossip. */
const pollsPerFullExchange = 3;

/** Share of the longest round trip that is kept with each exchange. */
const roundTripDecay = 0.8;

/** An instance did not respond in time; it may still do so. */
class LateResponseError extends HarrierhitchError {
    readonly code = "late-response";
}

/** Exchanges state with other instances. */
export class PeerCalls {
    /** Time that messages to other instances and back took lately, in milliseconds. */
    roundTripMs = 0;
    private longPolls = 0;
    /** When a reader or relay last responded with stale state. */
    private staleResponseAtMs = -Infinity;
    /** The last response of a reader or relay. */
    private distributorResponse: DistributorResponse | undefined;

    /** @param options - Clients, timeouts and callbacks. */
    constructor(private readonly options: PeerCallsOptions) {}

    /**
     * Whether a reader or relay responded recently with stale state because the platform does not serve it. It then goes on calling the
     * platform itself, so its subscribers need not. One that is stale without that is only busy.
     */
    get isDistributorCutOff(): boolean {
        const { clock, members, times } = this.options;
        const isStale = clock.nowMs() - this.staleResponseAtMs < times.staleAfterMs;
        return isStale && members.find(this.distributorResponse?.instance ?? "")?.platformReachable === false;
    }

    /** The last response of a reader or relay; `undefined` before the first. */
    get lastDistributorResponse(): DistributorResponse | undefined {
        return this.distributorResponse;
    }

    /**
     * Exchanges state with one instance.
     *
     * @param peer - The instance.
     * @param reason - The reason, for metrics.
     * @param link - The link; without one, the instance responds at once.
     * @returns Whether the instance responded.
     */
    async exchangeWith(
        peer: PeerAddress & Partial<Pick<Member, "instance">>,
        reason: ExchangeReason,
        link?: Link,
    ): Promise<boolean> {
        this.options.onExchange(reason);
        let hasFailed = false;
        return new Promise(resolve => {
            const fail = (error: Error): void => {
                if (!hasFailed) {
                    hasFailed = true;
                    this.options.onFailure(peer, error);
                    resolve(false);
                }
            };
            const onLate = (): void => fail(new LateResponseError("no response in time"));
            this.exchange(peer, link, onLate).then(() => resolve(true), (thrown: unknown) => fail(asError(thrown)));
        });
    }

    /**
     * Exchanges state with one instance. A response that comes after the timeout is used as well: whichever of the two instances is
     * short of processor time, its state is current.
     */
    private async exchange(
        peer: PeerAddress & Partial<Pick<Member, "instance">>,
        link: Link | undefined,
        onLate: () => void,
    ): Promise<void> {
        const { clock, clients, times, exchange, roles } = this.options;
        const { longPollMs = 0, role = Role.UNSPECIFIED } = link ?? {};
        const timeoutMs = times.callTimeoutMs + longPollMs;
        const send: SendExchange = request => {
            const timer = clock.after(timeoutMs, onLate);
            return callWithTimeout(clock, timeoutMs + times.boundMs, signal => clients.to(peer).exchange(request, { signal }))
                .finally(() => timer.cancel());
        };
        const { instance, stalenessMs, transitMs, isReadDirectly } = await exchange.initiate(
            send,
            { longPollMs, role, receiver: peer.instance ?? "", isDelta: longPollMs > 0 && this.isDeltaPoll() },
        );
        roles.recordResponse(instance);
        this.roundTripMs = Math.max(transitMs, this.roundTripMs * roundTripDecay);
        if (role !== Role.UNSPECIFIED) {
            this.distributorResponse = { instance, stalenessMs, atMs: clock.nowMs() };
        }
        if (role !== Role.UNSPECIFIED && stalenessMs > times.confirmMs && !isReadDirectly) {
            this.staleResponseAtMs = clock.nowMs();
        }
    }

    /** Counts a long poll; returns whether it omits older gossip. */
    private isDeltaPoll(): boolean {
        this.longPolls += 1;
        return this.longPolls % pollsPerFullExchange !== 0;
    }
}
