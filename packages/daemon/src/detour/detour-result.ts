/**
 * What an instance states about a request that it sent to an upstream for another instance.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";
import { framingHeader } from "./framing-header.js";

/** Response header with the result; never forwarded from an upstream. */
export const detourHeader = "x-harrierhitch-detour";

/** Header with the id of a detour, which the response repeats; never forwarded to an upstream or a caller. */
export const detourIdHeader = "x-harrierhitch-detour-id";

/**
 * Why an instance sent nothing to the upstream.
 *
 * - `no-path`: it cannot reach the service either.
 * - `closed`, `silent`: it reaches the service, but this upstream refuses connections or does not respond to them.
 * - `withdrawn`: the upstream is draining, backing off or no longer in service.
 * - `unknown-upstream`: it does not know the upstream, or another incarnation of it.
 * - `busy`, `stopping`, `rejected`: it takes no requests of other instances now, or none of this one.
 */
export const notSentReasons = [
    "no-path",
    "closed",
    "silent",
    "withdrawn",
    "unknown-upstream",
    "busy",
    "stopping",
    "rejected",
] as const;

export type NotSentReason = typeof notSentReasons[number];

/**
 * Result of a detour.
 *
 * - `answered`: the response is the upstream's.
 * - `not-sent`: nothing was sent to the upstream.
 * - `reset`: the upstream received the request and broke off without a response.
 * - `lost`: the upstream may have received the request, but there is no response of it.
 */
export type DetourResult = { readonly type: "answered" | "reset" | "lost"; } | {
    readonly type: "not-sent";
    readonly reason: NotSentReason;
};

export const formatDetourResult = (result: DetourResult): string =>
    result.type === "not-sent" ? `not-sent ${result.reason}` : result.type;

/**
 * Returns what a response proves about a detour.
 *
 * @param headers - Headers of the response.
 * @param id - Id of the detour.
 * @returns `lost` if the response has another id, or none and states that nothing was sent: then it may answer an earlier request on the
 *   connection. One that is the upstream's is judged by its own headers.
 */
export const readDetourResult = (headers: IncomingHttpHeaders, id: string): DetourResult => {
    const result = parseDetourResult(headers[detourHeader]);
    const echoed = headers[detourIdHeader];
    const isOfEarlierVersion = echoed === undefined && result.type !== "not-sent";
    return echoed === id || isOfEarlierVersion ? result : { type: "lost" };
};

/** Parses the header; `lost` if it is missing or invalid, because then the response is of unknown origin. */
export const parseDetourResult = (header: unknown): DetourResult => {
    const [type, reason] = typeof header === "string" ? header.split(" ") : [];
    const known = notSentReasons.find(name => name === reason);
    if (type === "not-sent" && known !== undefined) {
        return { type, reason: known };
    }
    return { type: type === "answered" || type === "reset" ? type : "lost" };
};

const detourHeaders: ReadonlySet<string> = new Set([detourHeader, detourIdHeader, framingHeader]);

/** Returns the headers of an upstream's response that came through another instance. */
export const withoutDetourHeaders = (headers: IncomingHttpHeaders): IncomingHttpHeaders =>
    Object.fromEntries(Object.entries(headers).filter(([name]) => !detourHeaders.has(name)));
