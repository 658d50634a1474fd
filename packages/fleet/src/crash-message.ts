/**
 * Crash records and quarantines in messages between instances.
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

/** The fields of a message with crash records and quarantined requests. */
export type CrashRecords = Pick<ExchangeRequest | ExchangeResponse, "endedRuns" | "withheld">;

/**
 * Encodes the crash records that another instance may lack.
 *
 * @param history - Crash history of this instance.
 * @param nowMs - Time on this instance's clock, in milliseconds.
 * @param remoteQuarantines - Requests that the other instance quarantines.
 * @param isDelta - Whether to include only the records for quarantines that the other instance lacks.
 */
export const encodeCrashRecords = (
    history: CrashHistory,
    nowMs: number,
    remoteQuarantines: readonly RequestSignature[],
    isDelta: boolean,
): CrashRecords => ({
    withheld: [...history.quarantined],
    endedRuns: history.recentEntries(remoteQuarantines, isDelta).map((
        { id, key, upstream, endedAtMs, endedAtUnixMs, ranMs, hasSucceeded, succeededMasks },
    ) => create(EndedRunSchema, {
        id,
        key,
        upstream,
        ageMs: nowMs - endedAtMs,
        endedAtUnixMs: BigInt(endedAtUnixMs),
        ranMs,
        answered: hasSucceeded,
        answeredAlike: succeededMasks,
    })),
});

/**
 * Merges crash records received from another instance.
 *
 * @param history - Crash history of this instance.
 * @param records - The received records.
 * @param nowMs - Time on this instance's clock, in milliseconds.
 * @returns Whether the history changed.
 */
export const mergeCrashRecords = (history: CrashHistory, { endedRuns, withheld }: CrashRecords, nowMs: number): boolean =>
    history.merge(endedRuns.map(message => decodeCrashRecord(message, nowMs)), withheld);

const decodeCrashRecord = (message: EndedRunMessage, nowMs: number): CrashRecord => {
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
