/**
 * Formatting and writing of command output.
 *
 * @packageDocumentation
 */

import Table from "cli-table3";
import colors from "picocolors";

/** Writes a line to standard output. */
export const writeLine = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

/** Writes a value to standard output as JSON. */
export const writeJson = (value: unknown): void => writeLine(JSON.stringify(value, undefined, 4));

/** Terminal colours; disabled if standard output is not a terminal or `NO_COLOR` is set. */
export const paint = colors.createColors(process.stdout.isTTY && process.env["NO_COLOR"] === undefined);

/**
 * Formats a table with aligned columns and without borders.
 *
 * @param head - Column headings.
 * @param rows - Cells by row.
 */
export const table = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
    const layout = new Table({
        head: head.map(title => paint.bold(title)),
        style: { "head": [], "border": [], "compact": true, "padding-left": 0, "padding-right": 2 },
        chars: {
            "top": "",
            "top-mid": "",
            "top-left": "",
            "top-right": "",
            "bottom": "",
            "bottom-mid": "",
            "bottom-left": "",
            "bottom-right": "",
            "left": "",
            "left-mid": "",
            "mid": "",
            "mid-mid": "",
            "right": "",
            "right-mid": "",
            "middle": "",
        },
    });
    layout.push(...rows.map(row => [...row]));
    return layout.toString();
};

/** Formats a duration given in milliseconds; `-` if it is negative, which means never. */
export const formatMs = (milliseconds: number): string => {
    if (milliseconds < 0) {
        return "-";
    }
    if (milliseconds >= 10_000) {
        return `${(milliseconds / 1000).toFixed(0)} s`;
    }
    return milliseconds >= 100 ? `${milliseconds.toFixed(0)} ms` : `${milliseconds.toFixed(1)} ms`;
};

/** Formats a count; `-` if it is negative, which means unknown. */
export const formatCount = (count: number): string => count < 0 ? "-" : String(count);
