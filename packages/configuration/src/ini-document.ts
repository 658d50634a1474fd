/**
 * INI documents that remember on which line each key stands.
 *
 * The library `ini` reads the values; this module only finds the lines, which
 * the library does not tell.
 *
 * @packageDocumentation
 */

import { parse } from "ini";
import type { Finding } from "./finding.js";

/** Nested values of an INI document: text, a boolean, or a section. */
export type IniValue = string | boolean | undefined | readonly IniValue[] | { readonly [key: string]: IniValue; };

const sectionLine = /^\s*\[([^\]]*)\]/;
const keyLine = /^\s*([^=;#[\s][^=]*?)\s*=/;

/** An INI document with the lines of its sections and keys. */
export class IniDocument {
    private constructor(
        /** Name of the file, for findings. */
        readonly file: string,
        /** The document's values. */
        readonly values: Readonly<Record<string, IniValue>>,
        private readonly lines: ReadonlyMap<string, number>,
        /** Mistakes that the library would pass over: repeated keys, values cut by a comment sign. */
        readonly syntaxFindings: readonly Finding[],
    ) {}

    /**
     * Reads a document.
     *
     * @param file - Name of the file, for findings.
     * @param text - The document's text.
     */
    static parse(file: string, text: string): IniDocument {
        const lines = new Map<string, number>();
        const mistakes: Finding[] = [];
        let section = "";
        text.split(/\r?\n/).forEach((content, index) => {
            const line = index + 1;
            const opened = sectionLine.exec(content)?.[1];
            const key = keyLine.exec(content)?.[1];
            if (opened !== undefined) {
                section = opened;
                lines.set(place(section, ""), lines.get(place(section, "")) ?? line);
            }
            else if (key !== undefined) {
                const first = lines.get(place(section, key));
                if (isCutByComment(content)) {
                    const message = "a comment sign cuts the text; put the whole value in double quotes or write \\; or \\#";
                    mistakes.push({ file, section, key, line, message });
                }
                if (first === undefined) {
                    lines.set(place(section, key), line);
                }
                else {
                    mistakes.push({ file, section, key, line, message: `given twice, first on line ${first}` });
                }
            }
        });
        return new IniDocument(file, parse(text), lines, mistakes);
    }

    /**
     * Takes values that were published in another syntax; their lines are unknown.
     *
     * @param file - Name of the file or key, for findings.
     * @param values - The values, as an INI document would give them.
     */
    static fromValues(file: string, values: Readonly<Record<string, IniValue>>): IniDocument {
        return new IniDocument(file, values, new Map(), []);
    }

    /** The line of a key, else of its section, else `undefined`. */
    lineOf(section: string, key: string): number | undefined {
        return this.lines.get(place(section, key)) ?? this.lines.get(place(section, ""));
    }
}

/** Whether a `;` or `#` inside a quoted text would end the value, as the library reads it. */
const isCutByComment = (content: string): boolean => {
    const value = content.slice(content.indexOf("=") + 1).trim();
    if (/^"(?:[^"\\]|\\.)*"$/.test(value)) {
        return false;
    }
    const kept = /^(?:[^;#\\]|\\.)*/.exec(value)?.[0] ?? "";
    return kept.length < value.length && (kept.split("'").length % 2 === 0 || kept.split("\"").length % 2 === 0);
};

const place = (section: string, key: string): string => `${section}\n${key}`;
