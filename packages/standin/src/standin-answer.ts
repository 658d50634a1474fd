/**
 * An answer of a stand-in for an upstream.
 *
 * @packageDocumentation
 */

import { type IncomingMessage, STATUS_CODES } from "node:http";

/** Header with the id of an attempt, which answers echo. */
export const attemptHeader = "x-attempt-id";

/** An answer, from which a copy can be made. */
export interface StandinAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | number>>;
    readonly body: string;
}

/**
 * Formats an answer for a raw connection.
 *
 * @param answer - The answer.
 * @returns Its bytes.
 */
export const answerBytes = ({ status, headers, body }: StandinAnswer): Buffer =>
    Buffer.from([
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        `content-length: ${Buffer.byteLength(body)}`,
        "",
        body,
    ].join("\r\n"));

/** Returns the header that repeats the id of an attempt, if the request has one. */
export const echoOf = ({ headers }: IncomingMessage): Record<string, string> => {
    const id = headers[attemptHeader];
    return typeof id === "string" ? { [attemptHeader]: id } : {};
};
