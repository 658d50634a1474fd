/**
 * Announced rate limits of upstreams in messages between instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { upstreamId } from "@harrierhitch/core";
import type { UpstreamLimitNotice, UpstreamLimits } from "@harrierhitch/decision";
import { type NamedLimit, NamedLimitSchema } from "@harrierhitch/protocol";

/**
 * Encodes the recently received limits.
 *
 * @param limits - Limits stored on this instance.
 * @param isDelta - Whether to include only the latest changes.
 */
export const encodeLimits = (limits: UpstreamLimits, isDelta: boolean): NamedLimit[] =>
    limits.recentEntries(isDelta).map(({ upstream, startedAtMs, notice: { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } }) =>
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
 * Merges limits received from another instance.
 *
 * @param limits - Limits stored on this instance.
 * @param messages - The received limits.
 * @returns Whether the changes have to be sent to all peers at once.
 */
export const mergeLimits = (limits: UpstreamLimits, messages: readonly NamedLimit[]): boolean =>
    limits.merge(messages.map(decodeLimit));

const decodeLimit = (
    { upstream, startedAtMs, perSecond, sinceUnixMs, saidAtUnixMs, heardBy }: NamedLimit,
): UpstreamLimitNotice => ({
    upstream: upstreamId(upstream),
    startedAtMs: Number(startedAtMs),
    notice: { perSecond, sinceUnixMs: Number(sinceUnixMs), saidAtUnixMs: Number(saidAtUnixMs), heardBy },
});
