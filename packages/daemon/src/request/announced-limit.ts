/**
 * Parses the rate limit that an upstream announces.
 *
 * @packageDocumentation
 */

/** The rate limit that a response announces, for all instances together. */
export type ParsedLimit =
    | {
        readonly type: "none";
    }
    | {
        readonly type: "named";
        /** Requests per second; 0 is a valid limit. */
        readonly perSecond: number;
    }
    | {
        /** The header is invalid; it does not affect the rest of the response. */
        readonly type: "unreadable";
        readonly text: string;
    };

/** Result for a response that announces no limit. */
export const noLimit: ParsedLimit = { type: "none" };

/** Highest limit that is accepted, in requests per second. */
const maximumPerSecond = 1_000_000;

/** Most characters of an invalid header that are reported. */
const maximumLoggedCharacters = 64;

const decimalPattern = /^(\d{1,9}(\.\d{0,20})?|\.\d{1,20})$/;

/**
 * Parses a rate limit.
 *
 * @param header - Value of the header; a repeated header is one text with commas, or several texts.
 * @returns The limit; unreadable if it is not a decimal number, too large, or repeated with different values.
 */
export const readLimit = (header: string | readonly string[] | undefined): ParsedLimit => {
    if (header === undefined) {
        return noLimit;
    }
    const text = typeof header === "string" ? header : header.join(",");
    const parts = text.split(",").map(part => part.trim());
    const values = new Set(parts.map(part => decimalPattern.test(part) ? Number(part) : NaN));
    const [perSecond = NaN] = values;
    return values.size === 1 && perSecond <= maximumPerSecond
        ? { type: "named", perSecond }
        : { type: "unreadable", text: text.slice(0, maximumLoggedCharacters) };
};
