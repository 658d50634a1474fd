/**
 * The crash records of the fleet.
 *
 * Records are merged without regard to order: any sequence of deliveries, with repetitions, ends in the same state.
 *
 * @packageDocumentation
 */

import type { Clock, RequestKey } from "@harrierhitch/core";
import type { CrashRecord } from "./crash-record.js";
import { detectPoisonRequests } from "./poison-detection.js";
import { isTrialDue } from "./quarantine-trial.js";
import { attributeMasks, commonMasks, matches, pathPartOf, type RequestSignature, signatureOf } from "./request-attributes.js";
import { SucceededKeys } from "./succeeded-keys.js";

/** Options of {@link CrashHistory}. */
export interface CrashHistoryOptions {
    readonly clock: Clock;
    /** Called when requests become quarantined, with the records that are the evidence. */
    readonly onQuarantined?: (signature: RequestSignature, records: readonly CrashRecord[]) => void;
    /** Called when requests are no longer quarantined. */
    readonly onReleased?: (signature: RequestSignature) => void;
}

interface StoredRecord {
    readonly record: CrashRecord;
    /** When this instance last changed the record. */
    readonly changedAtMs: number;
}

/** Time for which a change is sent with every exchange, in milliseconds: longer than gossip takes to reach all members. */
const gossipMs = 10_000;

/**
 * Time for which a record counts against a request that is not quarantined, in milliseconds: longer than callers wait before
 * they retry.
 */
const suspectRetentionMs = 600_000;

/** Time for which a request stays quarantined, in milliseconds. */
const quarantineMs = 3_600_000;

/** Records within this time of their expiry are not accepted, so that peers do not reintroduce expired ones. */
const expiryMarginMs = 30_000;

/** Most records that are stored, 100 bytes each: those of ten requests in flight at each of 50 upstreams that crash. */
const maximumRecords = 512;

/** Most records in one message, which limits its size; evidence for quarantines goes first. */
const maximumRecordsSent = 64;

/** Stores crash records and decides which requests are quarantined because of them. */
export class CrashHistory {
    private readonly entries = new Map<string, StoredRecord>();
    private readonly succeededKeys = new SucceededKeys();
    private quarantines: ReadonlyMap<RequestSignature, readonly CrashRecord[]> = new Map();
    /** Quarantines that this or another instance has found, as long as records of them are stored. */
    private agreedSignatures: ReadonlySet<RequestSignature> = new Set();
    /** Requests that were lost in a crash and have not succeeded since. */
    private suspects: ReadonlySet<RequestKey> = new Set();
    /** Method, host and path of the stored records. */
    private suspectPaths: ReadonlySet<string> = new Set();
    /** When the first record expires. */
    private nextExpiryAtMs = Infinity;

    /** @param options - The clock and the listeners. */
    constructor(private readonly options: CrashHistoryOptions) {}

    get size(): number {
        return this.entries.size;
    }

    get quarantined(): readonly RequestSignature[] {
        this.removeExpired();
        return [...this.quarantines.keys()];
    }

    /** Whether a request must not be sent, because upstreams crash while processing it. */
    isQuarantined(key: RequestKey): boolean {
        return this.matchingQuarantines(key).length > 0;
    }

    /** Returns the quarantined signatures that match a request. */
    matchingQuarantines(key: RequestKey): readonly RequestSignature[] {
        this.removeExpired();
        return this.quarantines.size === 0
            ? []
            : [...new Set(attributeMasks.map(mask => signatureOf(key, mask)))].filter(signature =>
                this.quarantines.has(signature)
            );
    }

    /**
     * Whether one instance may send one quarantined request as a trial: some time has passed, and no trial has failed yet.
     *
     * @param signature - The quarantined signature.
     */
    isTrialDue(signature: RequestSignature): boolean {
        const matching = this.records.filter(({ key }) => matches(key, signature));
        return isTrialDue(this.quarantines.get(signature) ?? [], matching, this.options.clock.nowMs());
    }

    /** Whether an upstream crashed while processing a request that has not succeeded since. */
    isSuspect(key: RequestKey): boolean {
        this.removeExpired();
        return this.suspects.has(key);
    }

    /**
     * Merges records of this instance or of peers.
     *
     * @param records - The records.
     * @param quarantined - What the sender of the records quarantines.
     * @returns Whether any record was new.
     */
    merge(records: readonly CrashRecord[], quarantined: readonly RequestSignature[] = []): boolean {
        this.removeExpired();
        const added = records.filter(record => this.store(record));
        const newlyAgreed = quarantined.filter(signature =>
            !this.agreedSignatures.has(signature) && this.records.some(({ key }) => matches(key, signature))
        );
        if (added.length > 0 || newlyAgreed.length > 0) {
            this.agreedSignatures = new Set([...this.agreedSignatures, ...newlyAgreed]);
            this.evictSurplus();
            this.detectQuarantines();
        }
        return added.length > 0;
    }

    /**
     * Records that a request received a response, and so does not crash every upstream.
     *
     * @returns Whether that changed any record.
     */
    recordSuccess(key: RequestKey): boolean {
        this.succeededKeys.record(key);
        const path = pathPartOf(key);
        if (!this.suspectPaths.has(path)) {
            return false;
        }
        const samePath = this.records.filter(record => pathPartOf(record.key) === path);
        return this.merge(samePath.map(record => ({
            ...record,
            hasSucceeded: record.hasSucceeded || record.key === key,
            succeededMasks: record.succeededMasks | commonMasks(record.key, key),
        })));
    }

    /**
     * Returns the records to send to a peer: recent changes, and the evidence for quarantines that the peer lacks.
     *
     * @param quarantined - What the peer quarantines.
     * @param isDelta - Whether to omit recent changes.
     */
    recentEntries(quarantined: readonly RequestSignature[], isDelta: boolean): readonly CrashRecord[] {
        const nowMs = this.options.clock.nowMs();
        const evidence = this.missingQuarantines(quarantined).flatMap(signature => this.quarantines.get(signature) ?? []);
        const isRecent = ({ changedAtMs }: StoredRecord): boolean => nowMs - changedAtMs < gossipMs;
        const recent = isDelta ? [] : [...this.entries.values()].filter(isRecent).map(({ record }) => record).reverse();
        return [...new Set([...evidence, ...recent])].slice(0, maximumRecordsSent);
    }

    /** Returns the quarantines of this instance that a peer lacks. */
    missingQuarantines(quarantined: readonly RequestSignature[]): readonly RequestSignature[] {
        return this.quarantined.filter(signature => !quarantined.includes(signature));
    }

    private get records(): readonly CrashRecord[] {
        return [...this.entries.values()].map(({ record }) => record);
    }

    private store(record: CrashRecord): boolean {
        const stored = this.entries.get(record.id);
        const ageMs = this.options.clock.nowMs() - record.endedAtMs;
        if (stored === undefined && ageMs > quarantineMs - expiryMarginMs) {
            return false;
        }
        // Later successes are merged into stored records, so only a new record is compared with all successes.
        const previous = stored?.record
            ?? { ...record, succeededMasks: record.succeededMasks | this.succeededKeys.matchingMasks(record.key) };
        const merged = {
            ...previous,
            hasSucceeded: previous.hasSucceeded || record.hasSucceeded,
            succeededMasks: previous.succeededMasks | record.succeededMasks,
        };
        if (
            stored !== undefined && merged.hasSucceeded === previous.hasSucceeded
            && merged.succeededMasks === previous.succeededMasks
        ) {
            return false;
        }
        this.entries.delete(record.id);
        this.entries.set(record.id, { record: merged, changedAtMs: this.options.clock.nowMs() });
        return true;
    }

    /** Evicts the oldest records that are no evidence. */
    private evictSurplus(): void {
        const surplus = this.entries.size - maximumRecords;
        if (surplus <= 0) {
            return;
        }
        const order = this.records
            .map(({ id, key, endedAtUnixMs }) => ({ id, isEvidence: this.isEvidence(key), endedAtUnixMs }))
            .sort((a, b) => Number(a.isEvidence) - Number(b.isEvidence) || a.endedAtUnixMs - b.endedAtUnixMs);
        order.slice(0, surplus).forEach(({ id }) => this.entries.delete(id));
    }

    private detectQuarantines(): void {
        const previous = this.quarantines;
        const { records } = this;
        this.quarantines = detectPoisonRequests(records, this.agreedSignatures);
        this.agreedSignatures = new Set(
            [...this.agreedSignatures, ...this.quarantines.keys()].filter(signature =>
                records.some(({ key }) => matches(key, signature))
            ),
        );
        this.suspects = new Set(records.filter(record => !record.hasSucceeded).map(record => record.key));
        this.suspectPaths = new Set(records.map(record => pathPartOf(record.key)));
        this.nextExpiryAtMs = Math.min(...records.map(record => this.expiresAtMs(record)));
        this.quarantines.forEach((evidence, signature) =>
            previous.has(signature) ? undefined : this.options.onQuarantined?.(signature, evidence)
        );
        previous.forEach((_, signature) => this.quarantines.has(signature) ? undefined : this.options.onReleased?.(signature));
    }

    private expiresAtMs({ key, endedAtMs }: CrashRecord): number {
        return endedAtMs + (this.isEvidence(key) ? quarantineMs : suspectRetentionMs);
    }

    private isEvidence(key: RequestKey): boolean {
        return [...this.quarantines.keys()].some(signature => matches(key, signature));
    }

    private removeExpired(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs < this.nextExpiryAtMs) {
            return;
        }
        this.records.filter(record => this.expiresAtMs(record) <= nowMs).forEach(({ id }) => this.entries.delete(id));
        this.detectQuarantines();
    }
}
