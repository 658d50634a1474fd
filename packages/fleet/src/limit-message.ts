/**
 * What upstreams say of how much they take, as instances tell it to each other.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { upstreamId } from "@harrierhitch/core";
import type { UpstreamLimitNotice, UpstreamLimits } from "@harrierhitch/decision";
import { type NamedLimit, NamedLimitSchema } from "@harrierhitch/protocol";

/**
 * Writes what was heard lately.
 *
 * @param limits - What this instance remembers.
 * @param isBrief - Whether to leave out what is not just new.
 */
export const encodeLimits = (limits: UpstreamLimits, isBrief: boolean): NamedLimit[] =>
    limits.recentEntries(isBrief).map(({ upstream, startedAtMs, notice: { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } }) =>
        create(NamedLimitSchema, {
            upstream,
            startedAtMs: BigInt(startedAtMs),
            ...(perSecond === undefined ? {} : { perSecond }),
            sinceUnixMs: BigInt(sinceUnixMs),
            saidAtUnixMs: BigInt(saidAtUnixMs),
            heardBy,
        })
    );

/**
 * Takes in what another instance told.
 *
 * @param limits - What this instance remembers.
 * @param told - What the other one told.
 * @returns Whether others should hear of any of it at once.
 */
export const mergeLimits = (limits: UpstreamLimits, told: readonly NamedLimit[]): boolean => limits.merge(told.map(readLimit));

const readLimit = (
    { upstream, startedAtMs, perSecond, sinceUnixMs, saidAtUnixMs, heardBy }: NamedLimit,
): UpstreamLimitNotice => ({
    upstream: upstreamId(upstream),
    startedAtMs: Number(startedAtMs),
    notice: { perSecond, sinceUnixMs: Number(sinceUnixMs), saidAtUnixMs: Number(saidAtUnixMs), heardBy },
});
