/**
 * The keeper of keyed requests: it votes on claims, so that a key runs at most once.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "@harrierhitch/core";
import {
    type ClaimRequest,
    type ClaimResponse,
    ClaimResponseSchema,
    type Document,
    type Holding,
    HoldingSchema,
    type SettleRequest,
    type SyncRecordsRequest,
    type SyncRecordsResponse,
    SyncRecordsResponseSchema,
    Vote,
} from "@harrierhitch/protocol";
import type { KeyHistory } from "./key-history.js";
import { View } from "./view.js";

/** Options of {@link Keeper}. */
export interface KeeperOptions {
    readonly clock: Clock;
    readonly history: KeyHistory;
    /** Time for which keys are kept after they were granted. */
    readonly keyTtlMs: () => number;
    /** Most keys that are kept; further claims are refused. */
    readonly maximumKeys: number;
    /** Told of a view that another instance knows and this one does not. */
    readonly onView: (text: string) => void;
}

interface KeptHolding {
    readonly key: string;
    readonly claimId: string;
    readonly holder: string;
    readonly holderIncarnation: bigint;
    readonly outcome: string;
    readonly fingerprint: string;
    readonly grantedAtMs: number;
}

/** Share of the time for which keys are kept, after which expired ones are looked for again. */
const sweepShare = 0.1;

/** Votes on claims and keeps who holds which key. */
export class Keeper {
    private readonly holdings = new Map<string, KeptHolding>();
    private sweptAtMs = 0;

    /** @param options - Clock, history and bounds. */
    constructor(private readonly options: KeeperOptions) {}

    /** Number of keys that are kept. */
    get size(): number {
        return this.holdings.size;
    }

    /** Votes on a claim. */
    vote(request: ClaimRequest): ClaimResponse {
        const { history } = this.options;
        this.takeView(request.view);
        history.learnViews(request.earlierViews.flatMap(document => View.read(document.text) ?? []));
        const { view } = history;
        const claim = request.holding;
        if (view === undefined || claim === undefined || request.view?.version?.hash !== view.hash) {
            return create(ClaimResponseSchema, {
                vote: Vote.OLDER_VIEW,
                ...(view === undefined ? {} : { view: view.toDocument() }),
            });
        }
        this.sweep();
        const held = this.holdings.get(claim.key);
        if (held !== undefined && held.claimId !== claim.claimId && !isReplaceable(held, request)) {
            return create(ClaimResponseSchema, { vote: Vote.HELD, holding: this.toMessage(held) });
        }
        if (held === undefined && !history.proves(claim.key)) {
            return create(ClaimResponseSchema, { vote: Vote.INCOMPLETE });
        }
        if (held === undefined && this.holdings.size >= this.options.maximumKeys) {
            return create(ClaimResponseSchema, { vote: Vote.FULL });
        }
        // A message that arrives a second time must not make the claim's end forgotten.
        if (held?.claimId !== claim.claimId) {
            this.keep(claim);
        }
        return create(ClaimResponseSchema, { vote: Vote.GRANTED });
    }

    /** Notes how a claim ended. */
    settle({ key, claimId, outcome }: SettleRequest): void {
        const held = this.holdings.get(key);
        if (held?.claimId === claimId && held.outcome === "") {
            this.holdings.set(key, { ...held, outcome });
        }
    }

    /** Hands over all records; from then on nothing is granted under an older view. */
    handOver(request: SyncRecordsRequest): SyncRecordsResponse {
        this.takeView(request.view);
        this.sweep();
        const { history } = this.options;
        return create(SyncRecordsResponseSchema, {
            holdings: [...this.holdings.values()].map(held => this.toMessage(held)),
            views: history.earlierViews.map(view => view.toDocument()),
            ...(history.view === undefined ? {} : { view: this.viewFor(request.view, history.view) }),
            standing: history.standing,
            answered: [...history.closedUnderView],
            left: [...history.closedForGood],
        });
    }

    /** Takes over records that another keeper handed over. */
    takeOver(holdings: readonly Holding[]): void {
        holdings.forEach(holding => {
            const held = this.holdings.get(holding.key);
            const isBetter = held === undefined || isReleased(held) || held.claimId === holding.claimId && held.outcome === "";
            if (isBetter) {
                this.keep(holding);
            }
        });
    }

    /** The text is left out for an instance that is at the same view. */
    private viewFor(asked: Document | undefined, view: View): Document {
        return asked?.version?.hash === view.hash ? view.toReference() : view.toDocument();
    }

    private takeView(document: Document | undefined): void {
        const { history, onView } = this.options;
        if (document !== undefined && document.text !== "" && document.version?.hash !== history.view?.hash) {
            const view = View.read(document.text);
            if (view?.isNewerThan(history.view) === true) {
                onView(document.text);
            }
        }
    }

    private keep(holding: Holding): void {
        this.holdings.set(holding.key, {
            key: holding.key,
            claimId: holding.claimId,
            holder: holding.holder,
            holderIncarnation: holding.holderIncarnation,
            outcome: holding.outcome,
            fingerprint: holding.fingerprint,
            grantedAtMs: this.options.clock.nowMs() - holding.ageMs,
        });
    }

    private toMessage(held: KeptHolding): Holding {
        const { grantedAtMs, ...rest } = held;
        return create(HoldingSchema, { ...rest, ageMs: this.options.clock.nowMs() - grantedAtMs });
    }

    private sweep(): void {
        const nowMs = this.options.clock.nowMs();
        const keyTtlMs = this.options.keyTtlMs();
        if (nowMs - this.sweptAtMs < keyTtlMs * sweepShare) {
            return;
        }
        this.sweptAtMs = nowMs;
        this.holdings.forEach((held, key) => {
            if (nowMs - held.grantedAtMs > keyTtlMs) {
                this.holdings.delete(key);
            }
        });
    }
}

const isReleased = (held: KeptHolding): boolean => held.outcome === "not-run";

const isReplaceable = (held: KeptHolding, request: ClaimRequest): boolean =>
    isReleased(held) || request.supersedes !== "" && held.claimId === request.supersedes;
