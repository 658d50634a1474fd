/**
 * Claiming keyed requests, so that each key runs at most once in the whole fleet.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock, InstanceId, RandomSource } from "@harrierhitch/core";
import { sleep } from "@harrierhitch/core";
import {
    type AwaitAnswerResponse,
    type ClaimRequest,
    ClaimRequestSchema,
    type ClaimResponse,
    type Holding,
    HoldingSchema,
} from "@harrierhitch/protocol";
import type { AnswerShelf, KeyedResult } from "./answer-shelf.js";
import type { ClaimResult } from "./claim-result.js";
import type { KeyCalls } from "./key-calls.js";
import type { KeyHistory } from "./key-history.js";
import { isGrant, type Tally, tallyOf } from "./tally.js";
import { type ListedEntry, majorityOf, type View } from "./view.js";

/** Options of {@link Claimer}. */
export interface ClaimerOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly fleet: string;
    readonly history: KeyHistory;
    readonly shelf: AnswerShelf;
    readonly calls: KeyCalls;
    /** Told of a newer view that a keeper named. */
    readonly onView: (text: string) => void;
}

interface Sending {
    readonly key: string;
    readonly fingerprint: string;
    readonly deadlineAtMs: number;
    /** Time until which keepers are given to finish their syncs. */
    readonly patientUntilMs: number;
    /** Whether the view's text goes along, because a keeper is at an older one. */
    readonly tellsView: boolean;
}

/** Time that keepers are given to finish their syncs after a change of the list. */
const patienceMs = 500;

/** Pause before a claim is tried again, up to twice as long. */
const retryMs = 10;

/** Claims keys at their keepers and finds the answers of others. */
export class Claimer {
    private count = 0;

    /** @param options - Parts of the instance. */
    constructor(private readonly options: ClaimerOptions) {}

    /**
     * Claims a key, or finds what became of its other sending. A repeated
     * sending that arrives while the first runs waits for its answer.
     *
     * @param key - The key, with the service that it belongs to.
     * @param fingerprint - Digest of the request; a key is never shared by two different requests.
     * @param deadlineAtMs - Time on the clock until which it is worth trying.
     */
    async claim(key: string, fingerprint: string, deadlineAtMs: number): Promise<ClaimResult> {
        const patientUntilMs = this.options.clock.nowMs() + patienceMs;
        let supersedes = "";
        let tellsView = false;
        let detail = "the keepers of the key could not be asked in time";
        while (this.options.clock.nowMs() < deadlineAtMs) {
            const own = this.options.shelf.find(key);
            if (own !== undefined && own.fingerprint !== fingerprint) {
                return { type: "mismatch" };
            }
            const ownResult = own === undefined ? undefined : await this.ownResult(own.ended, deadlineAtMs);
            if (own !== undefined && ownResult?.outcome !== "not-run") {
                return ownResult === undefined ? unknown("the first sending still runs") : { type: "ended", result: ownResult };
            }
            const step = await this.claimOnce(
                { key, fingerprint, deadlineAtMs, patientUntilMs, tellsView },
                supersedes === "" ? own?.claimId ?? "" : supersedes,
            );
            if (step.type !== "again") {
                return step;
            }
            supersedes = step.supersedes;
            tellsView = true;
            detail = step.detail;
            await sleep(this.options.clock, retryMs * (1 + this.options.random.next()));
        }
        return unknown(detail);
    }

    /** Notes how a granted request ended, and tells the keepers. */
    finish(key: string, claimId: string, result: KeyedResult): void {
        this.options.shelf.finish(key, claimId, result);
        const keepers = this.options.history.view?.keepersOf(key) ?? [];
        keepers.forEach(keeper => void this.options.calls.settle(keeper, key, claimId, result.outcome));
    }

    private async ownResult(ended: Promise<KeyedResult>, deadlineAtMs: number): Promise<KeyedResult | undefined> {
        const { clock } = this.options;
        const ending = new AbortController();
        const late = sleep(clock, deadlineAtMs - clock.nowMs(), ending.signal).then(() => undefined);
        const result = await Promise.race([ended, late]);
        ending.abort();
        return result;
    }

    private async claimOnce(sending: Sending, supersedes: string) {
        const { key, fingerprint } = sending;
        const { history, shelf } = this.options;
        const { view } = history;
        if (view === undefined) {
            return unknown("there is no instance list yet");
        }
        const claimId = this.nextClaimId();
        shelf.begin(key, claimId, fingerprint);
        const keepers = view.keepersOf(key);
        const tally = await this.ask(keepers, this.request(sending, claimId, view, supersedes));
        const isCurrent = history.view?.hash === view.hash;
        if (isCurrent && tally.granted >= majorityOf(keepers) || keepers.length === 0 && history.proves(key)) {
            return { type: "granted", claimId } as const;
        }
        this.finish(key, claimId, { outcome: "not-run", answer: undefined });
        return await this.afterLoss(sending, keepers, tally);
    }

    /** Without a majority: follows the claim that stands in the way, or says what is known. */
    private async afterLoss(sending: Sending, keepers: readonly ListedEntry[], tally: Tally) {
        const [other] = tally.held;
        if (other !== undefined) {
            return await this.follow(sending, other);
        }
        const mayBecomeComplete = tally.granted + tally.incomplete >= majorityOf(keepers);
        if (mayBecomeComplete && this.options.clock.nowMs() < sending.patientUntilMs) {
            return again("", "the keepers of the key could not yet prove that it is new");
        }
        if (tally.olderView) {
            return again("", "the instance list changed while the key was claimed");
        }
        if (tally.full >= majorityOf(keepers)) {
            return { type: "not-run", detail: "the keepers of the key have no room" } as const;
        }
        return unknown("too few keepers of the key could prove that it is new");
    }

    /** Finds what became of another claim on the key. */
    private async follow({ key, fingerprint, deadlineAtMs }: Sending, other: Holding) {
        if (other.fingerprint !== fingerprint && other.outcome !== "not-run") {
            return { type: "mismatch" } as const;
        }
        if (other.outcome === "not-run") {
            return again(other.claimId, "another sending ended as not run");
        }
        const answer = await this.options.calls.awaitAnswer(key, other, deadlineAtMs);
        switch (answer?.outcome) {
            case "ran":
                return { type: "ended", result: toResult(answer) } as const;
            case "not-run":
                return again(other.claimId, "another sending ended as not run");
            default:
                return other.outcome === "ran"
                    ? { type: "ended", result: { outcome: "ran", answer: undefined } } as const
                    : unknown(
                        `instance ${other.holder}, which holds the key, ${
                            answer?.outcome === "" ? "still runs it" : "cannot tell its end"
                        }`,
                    );
        }
    }

    private async ask(keepers: readonly ListedEntry[], request: ClaimRequest): Promise<Tally> {
        const votes: ClaimResponse[] = [];
        const needed = majorityOf(keepers);
        await new Promise<void>(resolve => {
            let open = keepers.length;
            const count = (vote: ClaimResponse | undefined): void => {
                open -= 1;
                if (vote !== undefined) {
                    votes.push(vote);
                }
                if (open === 0 || votes.filter(isGrant).length >= needed) {
                    resolve();
                }
            };
            keepers.forEach(keeper => void this.options.calls.claim(keeper, request).then(count));
            if (open === 0) {
                resolve();
            }
        });
        votes.filter(vote => vote.view !== undefined).forEach(vote => this.options.onView(vote.view?.text ?? ""));
        return tallyOf(votes);
    }

    private request(sending: Sending, claimId: string, view: View, supersedes: string): ClaimRequest {
        const { key, fingerprint } = sending;
        const { instance, incarnation, fleet, history } = this.options;
        const holding = create(HoldingSchema, {
            key,
            fingerprint,
            claimId,
            holder: instance,
            holderIncarnation: BigInt(incarnation),
        });
        const earlierViews = history.earlierViews.map(earlier => earlier.toDocument());
        return create(ClaimRequestSchema, {
            fleet,
            holding,
            view: sending.tellsView ? view.toDocument() : view.toReference(),
            supersedes,
            earlierViews,
        });
    }

    private nextClaimId(): string {
        this.count += 1;
        return `${this.options.instance}.${this.options.incarnation.toString(36)}.${this.count.toString(36)}`;
    }
}

const unknown = (detail: string) => ({ type: "unknown", detail }) as const;

const again = (supersedes: string, detail: string) => ({ type: "again", supersedes, detail }) as const;

const toResult = (answer: AwaitAnswerResponse): KeyedResult => ({
    outcome: "ran",
    answer: answer.hasAnswer
        ? {
            status: answer.status,
            headers: answer.headers.map(header => [header.name, header.value] as const),
            body: Buffer.from(answer.body),
        }
        : undefined,
});
