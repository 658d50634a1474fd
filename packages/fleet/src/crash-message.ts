/**
 * Runs that ended with their upstreams, as instances tell them to each other.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { requestKey } from "@harrierhitch/core";
import type { CrashLedger, EndedRun } from "@harrierhitch/decision";
import {
    type EndedRun as EndedRunMessage,
    EndedRunSchema,
    type ExchangeRequest,
    type ExchangeResponse,
} from "@harrierhitch/protocol";

/** What one message tells of runs that ended with their upstreams. */
export type CrashNews = Pick<ExchangeRequest | ExchangeResponse, "endedRuns" | "withheld">;

/** Hexadecimal digits of a key. */
const keyDigits = 16;

/**
 * Writes what an instance lacks.
 *
 * @param ledger - What this instance remembers.
 * @param nowMs - The time on its clock.
 * @param other - What the other one has said that it withholds.
 * @param isBrief - Whether to leave out what is only new.
 */
export const writeCrashNews = (ledger: CrashLedger, nowMs: number, other: string, isBrief: boolean): CrashNews => ({
    withheld: ledger.digest,
    endedRuns: ledger.toTell(other, isBrief).map(({ id, key, upstream, endedAtMs, endedAtUnixMs, ranMs, isAnswered }) =>
        create(EndedRunSchema, {
            id,
            key: BigInt(`0x${key}`),
            upstream,
            ageMs: nowMs - endedAtMs,
            endedAtUnixMs: BigInt(endedAtUnixMs),
            ranMs,
            answered: isAnswered,
        })
    ),
});

/**
 * Reads what another instance told.
 *
 * @param messages - What it told.
 * @param nowMs - The time on this instance's clock.
 */
export const readEndedRuns = (messages: readonly EndedRunMessage[], nowMs: number): readonly EndedRun[] =>
    messages.map(({ id, key, upstream, ageMs, endedAtUnixMs, ranMs, answered }) => ({
        id,
        key: requestKey(key.toString(16).padStart(keyDigits, "0")),
        upstream,
        endedAtMs: nowMs - Math.max(0, ageMs),
        endedAtUnixMs: Number(endedAtUnixMs),
        ranMs,
        isAnswered: answered,
    }));
