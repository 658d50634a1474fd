/**
 * Reading how many requests a second an upstream says that it takes.
 *
 * @packageDocumentation
 */

/** What an answer says of how much its sender takes from all instances together. */
export type ParsedLimit =
    | {
        /** It names no limit. */
        readonly type: "none";
    }
    | {
        readonly type: "named";
        /** Requests a second; 0 is a limit, too. */
        readonly perSecond: number;
    }
    | {
        /** It names something that is no limit; the rest of the answer holds all the same. */
        readonly type: "unreadable";
        readonly text: string;
    };

/** The reading of an answer that names no limit. */
export const noLimit: ParsedLimit = { type: "none" };

/** Most requests a second that are taken for meant: more than any one machine answers. */
const maximumPerSecond = 1_000_000;

/** Most characters of an unreadable header that are told. */
const maximumTold = 64;

const decimalPattern = /^(\d{1,9}(\.\d{0,20})?|\.\d{1,20})$/;

/**
 * Reads a limit.
 *
 * @param header - The header's value; one that stands several times comes as one text with commas, or as several.
 * @returns The limit; unreadable where it is no decimal number, too large, or several that differ.
 */
export const readLimit = (header: string | readonly string[] | undefined): ParsedLimit => {
    if (header === undefined) {
        return noLimit;
    }
    const text = typeof header === "string" ? header : header.join(",");
    const parts = text.split(",").map(part => part.trim());
    const figures = new Set(parts.map(part => decimalPattern.test(part) ? Number(part) : NaN));
    const [perSecond = NaN] = figures;
    return figures.size === 1 && perSecond <= maximumPerSecond
        ? { type: "named", perSecond }
        : { type: "unreadable", text: text.slice(0, maximumTold) };
};
