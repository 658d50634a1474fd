/**
 * The calls to keepers and holders of keyed requests.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock, InstanceId } from "@harrierhitch/core";
import {
    AwaitAnswerRequestSchema,
    type AwaitAnswerResponse,
    type ClaimRequest,
    type ClaimResponse,
    type Holding,
    SettleRequestSchema,
} from "@harrierhitch/protocol";
import type { Keeper } from "./keeper.js";
import type { KeyHistory } from "./key-history.js";
import { callWithin, type PeerClients } from "./peer-clients.js";
import type { ListedEntry } from "./view.js";

/** Options of {@link KeyCalls}. */
export interface KeyCallsOptions {
    readonly clock: Clock;
    readonly instance: InstanceId;
    readonly fleet: string;
    readonly history: KeyHistory;
    /** The keeper on this instance, which is asked without a call. */
    readonly keeper: Keeper;
    readonly clients: PeerClients;
    /** Longest time for one call. */
    readonly callTimeoutMs: number;
}

/** Calls keepers and holders; a call that fails gives `undefined`. */
export class KeyCalls {
    /** @param options - Parts of the instance. */
    constructor(private readonly options: KeyCallsOptions) {}

    /** Waits at the holder of a key for its answer. */
    async awaitAnswer(key: string, other: Holding, deadlineAtMs: number): Promise<AwaitAnswerResponse | undefined> {
        const { clock, clients, fleet, history, callTimeoutMs } = this.options;
        const holder = history.view?.list.instances.get(other.holder);
        if (holder === undefined) {
            return undefined;
        }
        const waitMs = Math.max(0, deadlineAtMs - clock.nowMs() - callTimeoutMs);
        const request = create(AwaitAnswerRequestSchema, { fleet, key, claimId: other.claimId, waitMs });
        try {
            return await callWithin(clock, waitMs + callTimeoutMs, signal => clients.to(holder).awaitAnswer(request, { signal }));
        }
        catch {
            return undefined;
        }
    }

    /** Asks one keeper for its vote. */
    async claim(keeper: ListedEntry, request: ClaimRequest): Promise<ClaimResponse | undefined> {
        const { clock, clients, instance, callTimeoutMs } = this.options;
        if (keeper.id === instance) {
            return this.options.keeper.vote(request);
        }
        try {
            return await callWithin(clock, callTimeoutMs, signal => clients.to(keeper).claim(request, { signal }));
        }
        catch {
            return undefined;
        }
    }

    /** Tells one keeper how a claim ended. */
    async settle(keeper: ListedEntry, key: string, claimId: string, outcome: string): Promise<void> {
        const { clock, clients, fleet, instance, callTimeoutMs } = this.options;
        const request = create(SettleRequestSchema, { fleet, key, claimId, outcome });
        if (keeper.id === instance) {
            this.options.keeper.settle(request);
            return;
        }
        try {
            await callWithin(clock, callTimeoutMs, signal => clients.to(keeper).settle(request, { signal }));
        }
        catch {
            // The keeper then learns the end when the holder is asked.
        }
    }
}
