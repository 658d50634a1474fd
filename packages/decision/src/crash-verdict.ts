/**
 * Which requests end the upstreams that run them.
 *
 * When an upstream ends, every request that was under way there is lost, and one of them at most is the cause. This
 * tells that one from those that were merely there: it needs three upstreams, one after the other, without one answer,
 * and ends that another request accounts for do not count.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";
import type { EndedRun } from "./ended-run.js";

/**
 * Upstreams that end under a request before it is withheld. With two, a request that is sent on after it lost its first
 * upstream, and is put beside the cause once more, would be withheld in the cause's place.
 */
const endsToWithhold = 3;

/**
 * Two runs at one upstream whose ends were seen within this many milliseconds ended with the same end of it: less than an
 * upstream takes to be back, more than the times of day of two machines usually differ.
 */
const sameEndMs = 1000;

/** Times of day are whole milliseconds. */
const resolutionMs = 1;

/**
 * The runs that count: of runs that overlap only one, since a single outage may end many upstreams at once and with them
 * every run of a popular request.
 */
const oneAfterTheOther = (runs: readonly EndedRun[]): readonly EndedRun[] => {
    const counted: EndedRun[] = [];
    [...runs].sort((a, b) => a.endedAtUnixMs - b.endedAtUnixMs).forEach(run => {
        const last = counted.at(-1);
        if (last === undefined || run.endedAtUnixMs - run.ranMs >= last.endedAtUnixMs - resolutionMs) {
            counted.push(run);
        }
    });
    return counted;
};

const isSameEnd = (a: EndedRun, b: EndedRun): boolean =>
    a.upstream === b.upstream && Math.abs(a.endedAtUnixMs - b.endedAtUnixMs) <= sameEndMs;

const byKey = (runs: readonly EndedRun[]): ReadonlyMap<RequestKey, readonly EndedRun[]> => {
    const groups = new Map<RequestKey, EndedRun[]>();
    runs.filter(run => !run.isAnswered).forEach(run => {
        const group = groups.get(run.key) ?? [];
        group.push(run);
        groups.set(run.key, group);
    });
    return groups;
};

/**
 * Finds the requests that are not to be sent any more.
 *
 * @param runs - All runs that ended with their upstreams, in any order.
 * @returns The keys of those requests, each with the runs that settled it; the same for any order of the runs.
 */
export const withheldRequests = (runs: readonly EndedRun[]): ReadonlyMap<RequestKey, readonly EndedRun[]> => {
    const candidates = [...byKey(runs)]
        .filter(([, own]) => own.length >= endsToWithhold)
        .map(([key, own]) => ({ key, own, count: oneAfterTheOther(own).length }))
        .sort((a, b) => b.count - a.count || (a.key < b.key ? -1 : 1));
    const withheld = new Map<RequestKey, readonly EndedRun[]>();
    const explained: EndedRun[] = [];
    candidates.forEach(({ key, own }) => {
        const unexplained = own.filter(run => !explained.some(other => isSameEnd(run, other)));
        const counted = oneAfterTheOther(unexplained);
        if (counted.length >= endsToWithhold) {
            withheld.set(key, counted.slice(0, endsToWithhold));
            explained.push(...own);
        }
    });
    return withheld;
};
