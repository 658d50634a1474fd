/**
 * The URL under which an instance sends a request to an upstream through another instance.
 *
 * @packageDocumentation
 */

import { type UpstreamId, upstreamId } from "@harrierhitch/core";

/** Path prefix of the detours that an instance serves. */
export const detourPrefix = "/harrierhitch.detour/";

/**
 * What is asked of the other instance.
 *
 * - `send`: to send the request to the upstream and to return the response.
 * - `check`: to check whether the upstream accepts connections.
 */
export type DetourAction = "send" | "check";

/** Where a detour leads, and on whose behalf. */
export interface DetourAddress {
    readonly action: DetourAction;
    readonly fleet: string;
    /** The instance that sends the request. */
    readonly instance: string;
    /** Id of the request; empty for a probe. */
    readonly request: string;
    readonly upstream: UpstreamId;
    /** Incarnation of the upstream, in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
    /** Time for the upstream to respond, in milliseconds. */
    readonly timeoutMs: number;
    /** URL of the caller's request. */
    readonly url: string;
}

const maximumTimeoutMs = 3_600_000;

const pattern = /^(send|check)\/([^/]+)\/([^/]+)\/([^/]*)\/([^/]+)\/(\d{1,15})\/(\d{1,9})\/(.*)$/s;

/** Returns the URL of a detour. */
export const formatDetour = (
    { action, fleet, instance, request, upstream, startedAtMs, timeoutMs, url }: DetourAddress,
): string => {
    const names = [action, fleet, instance, request, upstream].map(encodeURIComponent);
    return `${detourPrefix}${[...names, Math.round(startedAtMs), Math.round(Math.max(0, timeoutMs))].join("/")}/${url}`;
};

/** Parses the URL of a detour; `undefined` if it is invalid. */
export const parseDetour = (text: string): DetourAddress | undefined => {
    const match = text.startsWith(detourPrefix) ? pattern.exec(text.slice(detourPrefix.length)) : null;
    if (match === null) {
        return undefined;
    }
    const [, action, ...encoded] = match;
    try {
        const [fleet = "", instance = "", request = "", upstream = ""] = encoded.slice(0, 4).map(decodeURIComponent);
        const [startedAt, timeout, url = ""] = encoded.slice(4);
        return {
            action: action === "check" ? "check" : "send",
            fleet,
            instance,
            request,
            upstream: upstreamId(upstream),
            startedAtMs: Number(startedAt),
            timeoutMs: Math.min(maximumTimeoutMs, Number(timeout)),
            url,
        };
    }
    catch {
        // The names are not valid percent-encoding.
        return undefined;
    }
};
