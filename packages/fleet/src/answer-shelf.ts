/**
 * The keyed requests that this instance holds, with their answers.
 *
 * @packageDocumentation
 */

import type { Clock, Outcome } from "@harrierhitch/core";
import type { KeptAnswer } from "./kept-answer.js";

/** How a keyed request ended. */
export interface KeyedResult {
    readonly outcome: Outcome;
    /** The whole answer; `undefined` without one, or when it was too large to keep. */
    readonly answer: KeptAnswer | undefined;
}

/** A keyed request that this instance holds. */
export interface HeldRequest {
    readonly key: string;
    readonly claimId: string;
    /** Digest of the request. */
    readonly fingerprint: string;
    /** Fulfilled when the request has ended. */
    readonly ended: Promise<KeyedResult>;
}

interface Entry {
    readonly key: string;
    readonly claimId: string;
    readonly fingerprint: string;
    ended: Promise<KeyedResult>;
    readonly atMs: number;
    result: KeyedResult | undefined;
    bytes: number;
    readonly end: (result: KeyedResult) => void;
}

/** Options of {@link AnswerShelf}. */
export interface AnswerShelfOptions {
    readonly clock: Clock;
    readonly keyTtlMs: () => number;
    /** Most bytes of answers; older answers make room, their outcomes stay. */
    readonly maximumBytes: number;
}

/** Keeps the requests that this instance claimed, and their answers, for as long as keys are kept. */
export class AnswerShelf {
    private readonly entries = new Map<string, Entry>();
    private totalBytes = 0;

    /** @param options - Clock and bounds. */
    constructor(private readonly options: AnswerShelfOptions) {}

    /** Bytes of the answers that are kept. */
    get bytes(): number {
        return this.totalBytes;
    }

    /** Finds the request under a key. */
    find(key: string): HeldRequest | undefined {
        this.dropExpired();
        return this.entries.get(key);
    }

    /**
     * How the request of a claim of this run ends. A claim that another one has
     * replaced ended as not run, since only such claims are replaced.
     *
     * @param key - The key.
     * @param claimId - The claim.
     * @returns Its end, or `undefined` when nothing is known of the key.
     */
    endOf(key: string, claimId: string): Promise<KeyedResult> | undefined {
        const entry = this.entries.get(key);
        if (entry === undefined) {
            return undefined;
        }
        return entry.claimId === claimId ? entry.ended : Promise.resolve({ outcome: "not-run", answer: undefined });
    }

    /** Takes up a request that is being claimed. */
    begin(key: string, claimId: string, fingerprint: string): void {
        this.remove(key);
        let end: (result: KeyedResult) => void = () => undefined;
        const ended = new Promise<KeyedResult>(resolve => {
            end = resolve;
        });
        this.entries.set(key, {
            fingerprint,
            key,
            claimId,
            ended,
            end,
            atMs: this.options.clock.nowMs(),
            result: undefined,
            bytes: 0,
        });
    }

    /** Notes how a request ended. A claim that has ended never runs again. */
    finish(key: string, claimId: string, result: KeyedResult): void {
        const entry = this.entries.get(key);
        if (entry === undefined || entry.claimId !== claimId || entry.result !== undefined) {
            return;
        }
        entry.result = result;
        entry.bytes = result.answer?.body.length ?? 0;
        this.totalBytes += entry.bytes;
        this.makeRoom();
        entry.end(result);
    }

    private makeRoom(): void {
        this.entries.forEach(entry => {
            if (this.totalBytes > this.options.maximumBytes && entry.result !== undefined && entry.bytes > 0) {
                this.totalBytes -= entry.bytes;
                entry.bytes = 0;
                entry.result = { outcome: entry.result.outcome, answer: undefined };
                entry.ended = Promise.resolve(entry.result);
            }
        });
    }

    private dropExpired(): void {
        // Twice as long as keepers keep a key, so that a claim they still name is never forgotten here.
        const oldestMs = this.options.clock.nowMs() - 2 * this.options.keyTtlMs();
        for (const [key, entry] of this.entries) {
            if (entry.atMs > oldestMs) {
                return;
            }
            this.remove(key);
        }
    }

    private remove(key: string): void {
        this.totalBytes -= this.entries.get(key)?.bytes ?? 0;
        this.entries.delete(key);
    }
}
