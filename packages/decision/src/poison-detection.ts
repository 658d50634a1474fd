/**
 * Which requests end the upstreams that run them.
 *
 * When an upstream ends, every request that was under way there is lost, and one of them at most is the cause. This
 * tells that one from those that were merely there: it needs three upstreams, one after the other, without one answer,
 * and ends that another request accounts for do not count.
 *
 * What the repeats of such a request have in common is found out as well: all of it, or, where they differ in caller,
 * query or body, the rest, as long as no request was ever answered that has that rest in common with them.
 *
 * @packageDocumentation
 */

import type { CrashRecord } from "./crash-record.js";
import {
    allTraits,
    type AttributeMask,
    differInOthers,
    pathPartOf,
    type RequestSignature,
    signatureOf,
    traitSets,
} from "./request-attributes.js";

/**
 * Upstreams that end under a request before it is withheld. With two, a request that is sent on after it lost its first
 * upstream, and is put beside the cause once more, would be withheld in the cause's place.
 */
const endsToWithhold = 3;

/**
 * Two runs at one upstream whose ends were seen within this many milliseconds ended with the same end of it: less than an
 * upstream takes to be back, more than the times of day of two machines usually differ.
 */
const sameEndMs = 500;

/** Times of day are whole milliseconds. */
const resolutionMs = 1;

/**
 * Time between the runs that count of a request that upstreams had answered before: an outage takes its upstreams within
 * such a time, some of them one after the other, and with them runs of whatever is asked for often.
 */
const outageMs = 1000;

/**
 * The runs that can settle anything: those whose path is asked for by enough of them. All others share no pattern with
 * enough runs, and account for no end.
 */
const contested = (runs: readonly CrashRecord[]): readonly CrashRecord[] => {
    const counts = new Map<string, number>();
    runs.forEach(({ key }) => counts.set(pathPartOf(key), (counts.get(pathPartOf(key)) ?? 0) + 1));
    return runs.filter(({ key }) => (counts.get(pathPartOf(key)) ?? 0) >= endsToWithhold);
};

interface Candidate {
    readonly pattern: RequestSignature;
    readonly runs: readonly CrashRecord[];
    readonly count: number;
}

const isAnsweredAlike = (run: CrashRecord, set: AttributeMask): boolean => (run.succeededMasks >> set & 1) === 1;

/**
 * The runs that count: of runs that overlap only one, since a single outage may end many upstreams at once and with them
 * every run of a popular request.
 */
const oneAfterTheOther = (runs: readonly CrashRecord[]): readonly CrashRecord[] => {
    const gapMs = runs.some(run => isAnsweredAlike(run, allTraits)) ? outageMs : -resolutionMs;
    const counted: CrashRecord[] = [];
    [...runs].sort((a, b) => a.endedAtUnixMs - b.endedAtUnixMs).forEach(run => {
        const last = counted.at(-1);
        if (last === undefined || run.endedAtUnixMs - run.ranMs >= last.endedAtUnixMs + gapMs) {
            counted.push(run);
        }
    });
    return counted;
};

const isSameEnd = (a: CrashRecord, b: CrashRecord): boolean =>
    a.upstream === b.upstream && Math.abs(a.endedAtUnixMs - b.endedAtUnixMs) <= sameEndMs;

/** The groups of runs that agree in some traits and may show together that these end upstreams. */
const candidatesFor = (runs: readonly CrashRecord[], set: AttributeMask): readonly Candidate[] => {
    const groups = new Map<RequestSignature, CrashRecord[]>();
    runs.filter(run => set === allTraits ? !run.hasSucceeded : !isAnsweredAlike(run, set)).forEach(run => {
        const pattern = signatureOf(run.key, set);
        groups.set(pattern, [...groups.get(pattern) ?? [], run]);
    });
    return [...groups]
        .filter(([, own]) => own.length >= endsToWithhold && differInOthers(own.map(({ key }) => key), set))
        .map(([pattern, own]) => ({ pattern, runs: own, count: oneAfterTheOther(own).length }));
};

/**
 * Finds the requests that are not to be sent any more.
 *
 * @param runs - All runs that ended with their upstreams, in any order.
 * @param agreed - What was withheld already, here or elsewhere: what is learned of others later, which might account for
 *   an end as well, does not set it free.
 * @returns What those requests have in common, each with the runs that settled it; the same for any order of the runs.
 */
export const detectPoisonRequests = (
    runs: readonly CrashRecord[],
    agreed: ReadonlySet<RequestSignature> = new Set(),
): ReadonlyMap<RequestSignature, readonly CrashRecord[]> => {
    const mattering = contested(runs);
    const candidates = traitSets.flatMap(set => candidatesFor(mattering, set))
        .sort((a, b) => b.count - a.count || (a.pattern < b.pattern ? -1 : 1));
    const withheld = new Map<RequestSignature, readonly CrashRecord[]>();
    const explained: CrashRecord[] = [];
    candidates.forEach(({ pattern, runs: own }) => {
        const isAgreed = agreed.has(pattern);
        const counted = oneAfterTheOther(isAgreed ? own : own.filter(run => !explained.some(other => isSameEnd(run, other))));
        if (counted.length >= endsToWithhold) {
            withheld.set(pattern, counted.slice(0, endsToWithhold));
            explained.push(...own);
        }
    });
    return withheld;
};
