/**
 * Parses the header `Retry-After` (RFC 9110, section 10.2.3).
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";

/** Result of parsing a `Retry-After`. */
export interface ParsedRetryAfter {
    /** Milliseconds to wait; `undefined` if the header is missing or invalid. */
    readonly delayMs: number | undefined;
    /** Text of an invalid header. */
    readonly unreadable: string | undefined;
}

/** Longest delay that is accepted: one day, in milliseconds. */
const maximumDelayMs = 86_400_000;

const secondMs = 1000;

/** Most characters of an invalid header that are reported. */
const maximumLoggedCharacters = 64;

/** Seconds, optionally with a fraction. */
const secondsPattern = /^\d{1,9}(\.\d{1,20})?$/;

/** The preferred date format of HTTP. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Parses the header `Retry-After`.
 *
 * @param headers - Headers of the response; a date is relative to the response's `Date`, not to the local clock.
 * @returns The delay, or the text of an invalid header, such as a negative delay or a date without a `Date`.
 */
export const readRetryAfter = (headers: IncomingHttpHeaders): ParsedRetryAfter => {
    const text = headers["retry-after"]?.trim();
    if (text === undefined) {
        return { delayMs: undefined, unreadable: undefined };
    }
    const delayMs = secondsPattern.test(text) ? Number(text) * secondMs : delayUntil(text, headers.date);
    return delayMs !== undefined && delayMs <= maximumDelayMs
        ? { delayMs, unreadable: undefined }
        : { delayMs: undefined, unreadable: text.slice(0, maximumLoggedCharacters) };
};

const delayUntil = (text: string, responseDate: string | undefined): number | undefined => {
    if (!datePattern.test(text) || responseDate === undefined) {
        return undefined;
    }
    const delayMs = Date.parse(text) - Date.parse(responseDate);
    return Number.isNaN(delayMs) ? undefined : Math.max(0, delayMs);
};
