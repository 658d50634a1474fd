/**
 * Runs that ended with their upstreams, as instances tell them to each other.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { requestKey } from "@harrierhitch/core";
import type { CrashHistory, CrashRecord, RequestSignature } from "@harrierhitch/decision";
import {
    type EndedRun as EndedRunMessage,
    EndedRunSchema,
    type ExchangeRequest,
    type ExchangeResponse,
} from "@harrierhitch/protocol";

/** What one message tells of runs that ended with their upstreams. */
export type CrashRecords = Pick<ExchangeRequest | ExchangeResponse, "endedRuns" | "withheld">;

/**
 * Writes what an instance lacks.
 *
 * @param ledger - What this instance remembers.
 * @param nowMs - The time on its clock.
 * @param other - What the other one has said that it withholds.
 * @param isBrief - Whether to leave out what is only new.
 */
export const encodeCrashRecords = (
    ledger: CrashHistory,
    nowMs: number,
    other: readonly RequestSignature[],
    isBrief: boolean,
): CrashRecords => ({
    withheld: [...ledger.quarantined],
    endedRuns: ledger.recentEntries(other, isBrief).map((
        { id, key, upstream, endedAtMs, endedAtUnixMs, ranMs, hasSucceeded: isAnswered, succeededMasks: answeredAlike },
    ) => create(EndedRunSchema, {
        id,
        key,
        upstream,
        ageMs: nowMs - endedAtMs,
        endedAtUnixMs: BigInt(endedAtUnixMs),
        ranMs,
        answered: isAnswered,
        answeredAlike,
    })),
});

/**
 * Takes in what another instance told.
 *
 * @param ledger - What this instance remembers.
 * @param news - What the other one told.
 * @param nowMs - The time on this instance's clock.
 * @returns Whether anything was new.
 */
export const mergeCrashRecords = (ledger: CrashHistory, { endedRuns, withheld }: CrashRecords, nowMs: number): boolean =>
    ledger.merge(endedRuns.map(message => readEndedRun(message, nowMs)), withheld);

const readEndedRun = (message: EndedRunMessage, nowMs: number): CrashRecord => {
    const { id, key, upstream, ageMs, endedAtUnixMs, ranMs, answered, answeredAlike } = message;
    return {
        id,
        key: requestKey(key),
        upstream,
        endedAtMs: nowMs - Math.max(0, ageMs),
        endedAtUnixMs: Number(endedAtUnixMs),
        ranMs,
        hasSucceeded: answered,
        succeededMasks: answeredAlike,
    };
};
