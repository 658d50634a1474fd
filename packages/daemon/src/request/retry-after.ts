/**
 * Reading the header `Retry-After` (RFC 9110, section 10.2.3).
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";

/** What a `Retry-After` says. */
export interface ParsedRetryAfter {
    /** Milliseconds to wait; `undefined` where there is no such header, or none that can be read. */
    readonly delayMs: number | undefined;
    /** The header's text where it cannot be read. */
    readonly unreadable: string | undefined;
}

/** Longest delay that is taken for meant: a server that needs longer than a day is replaced rather than waited for. */
const maximumDelayMs = 86_400_000;

const secondMs = 1000;

/** Most characters of an unreadable header that are told. */
const maximumTold = 64;

/** Seconds, with a fraction where the sender gives one. */
const secondsPattern = /^\d{1,9}(\.\d{1,20})?$/;

/** The form in which HTTP writes dates. */
const datePattern = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Reads the header `Retry-After`.
 *
 * @param headers - Headers of the answer; a date counts from the answer's own `Date`, so that no clock of this machine matters.
 * @returns The delay, or the text that cannot be read: a negative or endless delay, words, a date without a `Date`.
 */
export const readRetryAfter = (headers: IncomingHttpHeaders): ParsedRetryAfter => {
    const text = headers["retry-after"]?.trim();
    if (text === undefined) {
        return { delayMs: undefined, unreadable: undefined };
    }
    const delayMs = secondsPattern.test(text) ? Number(text) * secondMs : delayUntil(text, headers.date);
    return delayMs !== undefined && delayMs <= maximumDelayMs
        ? { delayMs, unreadable: undefined }
        : { delayMs: undefined, unreadable: text.slice(0, maximumTold) };
};

const delayUntil = (text: string, now: string | undefined): number | undefined => {
    if (!datePattern.test(text) || now === undefined) {
        return undefined;
    }
    const delayMs = Date.parse(text) - Date.parse(now);
    return Number.isNaN(delayMs) ? undefined : Math.max(0, delayMs);
};
