/**
 * Bounded store of decision records.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { DecisionRecord } from "../request/decision-record.js";
import { estimateOwnBytes, sharedPartsOf } from "./estimate-bytes.js";
import { SharedParts } from "./shared-parts.js";

/** Options of {@link ExplanationStore}. */
export interface ExplanationStoreOptions {
    readonly maximumEntries: number;
    readonly maximumBytes: number;
}

/** Stores the newest records within limits on entries and bytes. */
export class ExplanationStore {
    private readonly finished = new Map<RequestId, { readonly record: DecisionRecord; readonly bytes: number; }>();
    /** Ring buffer of the IDs of finished records; finding the oldest key of a map is slow after many deletions. */
    private readonly order: RequestId[] = [];
    private oldest = 0;
    private readonly inFlight = new Map<RequestId, DecisionRecord>();
    private ownBytes = 0;
    private readonly shared = new SharedParts();

    /** @param options - Limits. */
    constructor(private readonly options: ExplanationStoreOptions) {}

    /** Adds the record of a request that has just arrived. */
    begin(record: DecisionRecord): void {
        this.inFlight.set(record.id, record);
    }

    /** Marks a record as finished and evicts the oldest ones beyond the limits. */
    finish(record: DecisionRecord): void {
        this.inFlight.delete(record.id);
        const bytes = estimateOwnBytes(record);
        this.finished.set(record.id, { record, bytes });
        this.shared.add(sharedPartsOf(record));
        this.order[(this.oldest + this.finished.size - 1) % this.ringSize] = record.id;
        this.ownBytes += bytes;
        while (this.finished.size > this.options.maximumEntries || this.bytes > this.options.maximumBytes) {
            this.dropOldest();
        }
    }

    /** Returns a record by its request's ID. */
    find(id: RequestId): DecisionRecord | undefined {
        return this.inFlight.get(id) ?? this.finished.get(id)?.record;
    }

    /** Number of finished records. */
    get entries(): number {
        return this.finished.size;
    }

    /** Drops the older half of the finished records. */
    dropOlderHalf(): void {
        Array.from({ length: Math.ceil(this.finished.size / 2) }).forEach(() => this.dropOldest());
    }

    /** Estimated memory of the finished records with all that they refer to, in bytes. */
    get bytes(): number {
        return this.ownBytes + this.shared.bytes;
    }

    private get ringSize(): number {
        return this.options.maximumEntries + 1;
    }

    private dropOldest(): void {
        const id = this.order[this.oldest];
        const entry = id === undefined ? undefined : this.finished.get(id);
        if (id !== undefined && entry !== undefined) {
            this.finished.delete(id);
            this.ownBytes -= entry.bytes;
            this.shared.remove(sharedPartsOf(entry.record));
            this.oldest = (this.oldest + 1) % this.ringSize;
        }
    }
}
