/**
 * Validation of documents against a schema, with the location of each finding.
 *
 * @packageDocumentation
 */

import { distance } from "fastest-levenshtein";
import type { z } from "zod";
import type { Finding } from "./finding.js";
import type { IniDocument } from "./ini-document.js";
import { unwrapSchema } from "./unwrap-schema.js";

/** The result of a check: the value if the document is valid, otherwise the findings. */
export type CheckResult<Value> = { readonly value: Value; readonly findings: readonly []; } | {
    readonly value: undefined;
    readonly findings: readonly Finding[];
};

/** Maximum edit distance of a suggested name. */
const maximumSuggestionDistance = 3;

/**
 * Checks a document against a schema of sections.
 *
 * @param document - The document.
 * @param schema - The schema: an object whose properties are the sections.
 * @returns The value or all findings.
 */
export const checkDocument = <Schema extends z.ZodObject>(
    document: IniDocument,
    schema: Schema,
): CheckResult<z.output<Schema>> => {
    const result = schema.safeParse(document.values);
    const findings = [
        ...document.syntaxFindings,
        ...(result.error?.issues ?? []).flatMap(issue => toFindings(document, schema, issue)),
    ];
    return result.success && findings.length === 0
        ? { value: result.data, findings: [] }
        : { value: undefined, findings };
};

/** Returns the findings of an issue that the schema of a document reports. */
export const toFindings = (document: IniDocument, schema: z.ZodObject, issue: z.core.$ZodIssue): readonly Finding[] => {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        const validNames = namesAt(schema, path);
        return issue.keys.map(name => unknownNameFinding(document, path, name, validNames));
    }
    const isKey = issue.code !== "invalid_type" && (path.length > 1 || !path.some(name => isSection(document.values[name])));
    const section = isKey ? path.slice(0, -1).join(".") : path.join(".");
    const key = isKey ? path.at(-1) ?? "" : "";
    const message = issue.code === "invalid_type" ? "the section is missing or is not a section" : issue.message;
    return [{ file: document.file, section, key, line: document.lineOf(section, key), message }];
};

const unknownNameFinding = (
    document: IniDocument,
    path: readonly string[],
    name: string,
    validNames: readonly string[],
): Finding => {
    const closest = validNames
        .map(candidate => ({ candidate, edits: distance(candidate.toLowerCase(), name.toLowerCase()) }))
        .filter(entry => entry.edits <= maximumSuggestionDistance)
        .sort((a, b) => a.edits - b.edits)[0];
    const suggestion = closest === undefined ? "" : `; did you mean ${closest.candidate}?`;
    const unknownSection = path.length === 0 && isSection(document.values[name]);
    return {
        file: document.file,
        section: unknownSection ? name : path.join("."),
        key: unknownSection ? "" : name,
        line: unknownSection ? document.lineOf(name, "") : document.lineOf(path.join("."), name),
        message: `unknown ${unknownSection ? "section" : "key"}${suggestion}`,
    };
};

const isSection = (value: unknown): boolean => typeof value === "object" && value !== null;

/** Returns the names that the schema allows at a path; none if the path allows any name. */
const namesAt = (schema: z.ZodObject, path: readonly string[]): readonly string[] => {
    const inner = path.reduce<unknown>((outer, name) => childSchema(outer, name), schema);
    return inner !== undefined && "shape" in (inner as object) ? Object.keys((inner as z.ZodObject).shape) : [];
};

const childSchema = (schema: unknown, name: string): unknown => {
    const unwrapped = unwrapSchema(schema);
    if (unwrapped !== undefined && "shape" in unwrapped) {
        return unwrapSchema((unwrapped as z.ZodObject).shape[name]);
    }
    return unwrapped !== undefined && "valueType" in unwrapped ? unwrapSchema(unwrapped.valueType) : undefined;
};
