/**
 * Detection of requests that crash the upstreams that process them.
 *
 * When an upstream crashes, all its requests are lost, but at most one is the cause. A request is considered the cause after
 * three upstreams crashed one after the other while processing it, if it has received no response since. Crashes that another
 * request explains do not count.
 *
 * If the retries differ in caller, query or body, the attributes that they share identify them, provided that no request with
 * the same attributes has succeeded.
 *
 * @packageDocumentation
 */

import type { CrashRecord } from "./crash-record.js";
import {
    allAttributes,
    type AttributeMask,
    attributeMasks,
    differOutside,
    pathPartOf,
    type RequestSignature,
    signatureOf,
} from "./request-attributes.js";

/**
 * Crashes after which a request is quarantined. Two are not enough: a request that was retried once may have run beside the
 * cause both times.
 */
const crashThreshold = 3;

/**
 * Two records of one upstream within this time belong to the same crash, in milliseconds: shorter than a restart, longer than
 * the usual clock difference between machines.
 */
const sameCrashMs = 500;

/** Resolution of timestamps, in milliseconds: attempts that overlap by no more may have followed each other. */
const resolutionMs = 1;

/**
 * Shortest time between a crash and the start of the next attempt that counts separately, in milliseconds, for a request that
 * has succeeded: an outage may crash several upstreams within that time.
 */
const outageMs = 1000;

/** Returns the records that may be evidence: those whose path has enough records. */
const selectPossibleEvidence = (records: readonly CrashRecord[]): readonly CrashRecord[] => {
    const counts = new Map<string, number>();
    records.forEach(({ key }) => counts.set(pathPartOf(key), (counts.get(pathPartOf(key)) ?? 0) + 1));
    return records.filter(({ key }) => (counts.get(pathPartOf(key)) ?? 0) >= crashThreshold);
};

interface Candidate {
    readonly signature: RequestSignature;
    readonly records: readonly CrashRecord[];
    readonly count: number;
}

const hasSucceededWith = (record: CrashRecord, mask: AttributeMask): boolean => (record.succeededMasks >> mask & 1) === 1;

/** Selects the records that count: one of those that overlap, because one outage may crash many upstreams at once. */
const selectConsecutive = (records: readonly CrashRecord[]): readonly CrashRecord[] => {
    const minimumGapMs = records.some(record => hasSucceededWith(record, allAttributes)) ? outageMs : -resolutionMs;
    const counted: CrashRecord[] = [];
    [...records].sort((a, b) => a.endedAtUnixMs - b.endedAtUnixMs).forEach(record => {
        const previous = counted.at(-1);
        if (previous === undefined || record.endedAtUnixMs - record.ranMs >= previous.endedAtUnixMs + minimumGapMs) {
            counted.push(record);
        }
    });
    return counted;
};

const isSameCrash = (a: CrashRecord, b: CrashRecord): boolean =>
    a.upstream === b.upstream && Math.abs(a.endedAtUnixMs - b.endedAtUnixMs) <= sameCrashMs;

/** Groups records by the attributes in a mask, and returns the groups that may be evidence against these attributes. */
const candidatesFor = (records: readonly CrashRecord[], mask: AttributeMask): readonly Candidate[] => {
    const groups = new Map<RequestSignature, CrashRecord[]>();
    records.filter(record => mask === allAttributes ? !record.hasSucceeded : !hasSucceededWith(record, mask)).forEach(record => {
        const signature = signatureOf(record.key, mask);
        groups.set(signature, [...groups.get(signature) ?? [], record]);
    });
    return [...groups]
        .filter(([, matching]) => matching.length >= crashThreshold && differOutside(matching.map(({ key }) => key), mask))
        .map(([signature, matching]) => ({ signature, records: matching, count: selectConsecutive(matching).length }));
};

/**
 * Finds the requests that must not be sent any more.
 *
 * @param records - All crash records, in any order.
 * @param agreed - Signatures that this or another instance already quarantines; records of other requests that arrive later do
 *   not release them.
 * @returns The signatures to quarantine, each with its evidence; the same for any order of the records.
 */
export const detectPoisonRequests = (
    records: readonly CrashRecord[],
    agreed: ReadonlySet<RequestSignature> = new Set(),
): ReadonlyMap<RequestSignature, readonly CrashRecord[]> => {
    const possibleEvidence = selectPossibleEvidence(records);
    const candidates = attributeMasks.flatMap(mask => candidatesFor(possibleEvidence, mask))
        .sort((a, b) => b.count - a.count || (a.signature < b.signature ? -1 : 1));
    const quarantined = new Map<RequestSignature, readonly CrashRecord[]>();
    const explained: CrashRecord[] = [];
    candidates.forEach(({ signature, records: matching }) => {
        const isAgreed = agreed.has(signature);
        const counted = selectConsecutive(
            isAgreed ? matching : matching.filter(record => !explained.some(other => isSameCrash(record, other))),
        );
        if (counted.length >= crashThreshold) {
            quarantined.set(signature, counted.slice(0, crashThreshold));
            explained.push(...matching);
        }
    });
    return quarantined;
};
