/**
 * INI documents with the line number of each key. The library `ini` parses the values; this module adds the line numbers, which
 * the library does not provide.
 *
 * @packageDocumentation
 */

import { detachText } from "@harrierhitch/core";
import { parse } from "ini";
import { createRecord } from "./create-record.js";
import type { Finding } from "./finding.js";

/** Nested values of an INI document: text, a boolean, or a section. */
export type IniValue = string | boolean | undefined | readonly IniValue[] | { readonly [key: string]: IniValue; };

const sectionLine = /^\s*\[([^\]]*)\]/;
const keyLine = /^\s*([^=;#[\s][^=]*?)\s*=/;

/** An INI document with the lines of its sections and keys. */
export class IniDocument {
    private constructor(
        /** File name or key for findings. */
        readonly file: string,
        readonly values: Readonly<Record<string, IniValue>>,
        private readonly lines: ReadonlyMap<string, number>,
        /** Errors that the library ignores: duplicate keys and values cut by a comment sign. */
        readonly syntaxFindings: readonly Finding[],
    ) {}

    /**
     * Parses an INI document.
     *
     * @param file - File name or key for findings.
     * @param text - The text of the document.
     */
    static parse(file: string, text: string): IniDocument {
        const lines = new Map<string, number>();
        const syntaxFindings: Finding[] = [];
        let section = "";
        text.split(/\r?\n/).forEach((content, index) => {
            const line = index + 1;
            const openedSection = sectionLine.exec(content)?.[1];
            const key = keyLine.exec(content)?.[1];
            if (openedSection !== undefined) {
                section = openedSection;
                lines.set(locationKey(section, ""), lines.get(locationKey(section, "")) ?? line);
            }
            else if (key !== undefined) {
                const firstLine = lines.get(locationKey(section, key));
                if (isCutByComment(content)) {
                    const message = "a comment sign cuts the text; put the complete value in double quotes or write \\; or \\#";
                    syntaxFindings.push({ file, section, key, line, message });
                }
                if (firstLine === undefined) {
                    lines.set(locationKey(section, key), line);
                }
                else {
                    syntaxFindings.push({ file, section, key, line, message: `given twice, first on line ${firstLine}` });
                }
            }
        });
        return new IniDocument(file, detachValues(parse(text)), lines, syntaxFindings);
    }

    /**
     * Creates a document without line numbers from values that were published in another syntax.
     *
     * @param file - File name or key for findings.
     * @param values - The values in the form in which an INI document has them.
     */
    static fromValues(file: string, values: Readonly<Record<string, IniValue>>): IniDocument {
        return new IniDocument(file, values, new Map(), []);
    }

    /** Returns a document with other values at the same lines. */
    withValues(values: Readonly<Record<string, IniValue>>): IniDocument {
        return new IniDocument(this.file, values, this.lines, this.syntaxFindings);
    }

    /** Returns the line of a key, or of its section if the key is absent, or `undefined` if both are. */
    lineOf(section: string, key: string): number | undefined {
        return this.lines.get(locationKey(section, key)) ?? this.lines.get(locationKey(section, ""));
    }
}

/** Copies the texts of values, which are parts of the document's text and would keep it alive. */
const detachValues = (values: Readonly<Record<string, IniValue>>): Readonly<Record<string, IniValue>> =>
    createRecord(Object.entries(values).map(([key, value]) => [detachText(key), detachValue(value)]));

const detachValue = (value: IniValue): IniValue => {
    if (typeof value === "string") {
        return detachText(value);
    }
    if (Array.isArray(value)) {
        return (value as readonly IniValue[]).map(detachValue);
    }
    return typeof value === "object" ? detachValues(value as Readonly<Record<string, IniValue>>) : value;
};

/** Whether the library would end the value at a `;` or `#` inside quotes. */
const isCutByComment = (content: string): boolean => {
    const value = content.slice(content.indexOf("=") + 1).trim();
    if (/^"(?:[^"\\]|\\.)*"$/.test(value)) {
        return false;
    }
    const parsed = /^(?:[^;#\\]|\\.)*/.exec(value)?.[0] ?? "";
    return parsed.length < value.length && (parsed.split("'").length % 2 === 0 || parsed.split("\"").length % 2 === 0);
};

const locationKey = (section: string, key: string): string => `${section}\n${key}`;
