/**
 * Validation of documents that share sections with earlier ones.
 *
 * @packageDocumentation
 */

import type { z } from "zod";
import { checkDocument, type CheckResult, toFindings } from "./check.js";
import { createRecord } from "./create-record.js";
import type { Finding } from "./finding.js";
import type { IniDocument, IniValue } from "./ini-document.js";

/** Schema of a group of named sections. */
type GroupSchema = z.ZodRecord<z.core.$ZodRecordKey & z.ZodType, z.ZodType>;

/**
 * Validates documents, and remembers the sections that were valid. A section that is the same object under the same name as in an
 * earlier document is not validated again, so that the cost of a version depends on what it changes.
 */
export class SectionCache<Schema extends z.ZodObject> {
    /** Checked sections of each group, by the section as it was read and its name. */
    private readonly checked = new Map<string, WeakMap<object, Map<string, unknown>>>();

    /**
     * @param schema - Schema of the documents.
     * @param groups - Names of the groups of sections that are remembered; these sections must never be modified.
     */
    constructor(private readonly schema: Schema, private readonly groups: readonly (keyof Schema["shape"] & string)[]) {}

    /**
     * Checks a document like {@link checkDocument}.
     *
     * @param document - The document.
     * @returns The value or all findings.
     */
    check(document: IniDocument): CheckResult<z.output<Schema>> {
        const remembered = this.groups.filter(group => isSection(document.values[group]));
        const without = createRecord(remembered.map(group => [group, {}]));
        const result = checkDocument(document.withValues({ ...document.values, ...without }), this.schema);
        const checkedGroups = remembered.map(group => ({ group, ...this.checkGroup(document, group) }));
        const findings = [...result.findings, ...checkedGroups.flatMap(group => group.findings)];
        return result.value === undefined || findings.length > 0
            ? { value: undefined, findings }
            : {
                value: { ...result.value, ...createRecord(checkedGroups.map(({ group, value }) => [group, value])) },
                findings: [],
            };
    }

    private checkGroup(
        document: IniDocument,
        group: string,
    ): { readonly value: unknown; readonly findings: readonly Finding[]; } {
        const entries = Object.entries(document.values[group] as Readonly<Record<string, IniValue>>);
        const results = entries.map(([name, raw]) => ({ name, ...this.checkSection(document, group, name, raw) }));
        return {
            value: createRecord(results.map(({ name, value }) => [name, value])),
            findings: results.flatMap(({ findings }) => findings),
        };
    }

    private checkSection(
        document: IniDocument,
        group: string,
        name: string,
        raw: IniValue,
    ): { readonly value: unknown; readonly findings: readonly Finding[]; } {
        const known = isSection(raw) ? this.knownSections(group, raw) : undefined;
        if (known?.has(name) === true) {
            return { value: known.get(name), findings: [] };
        }
        const { keyType, valueType } = this.schema.shape[group] as GroupSchema;
        const nameIssues = (keyType.safeParse(name).error?.issues ?? []).map(issue => ({ ...issue, path: [] }));
        const checked = valueType.safeParse(raw);
        const issues = [...nameIssues, ...checked.error?.issues ?? []];
        if (issues.length === 0) {
            known?.set(name, checked.data);
        }
        return {
            value: checked.data,
            findings: issues.flatMap(issue =>
                toFindings(document, this.schema, { ...issue, path: [group, name, ...issue.path] })
            ),
        };
    }

    /** Returns the checked values of a section by the names under which it was valid. */
    private knownSections(group: string, raw: object): Map<string, unknown> {
        const ofGroup = this.checked.get(group) ?? new WeakMap<object, Map<string, unknown>>();
        const known = ofGroup.get(raw) ?? new Map<string, unknown>();
        this.checked.set(group, ofGroup.set(raw, known));
        return known;
    }
}

const isSection = (value: IniValue): value is { readonly [key: string]: IniValue; } =>
    typeof value === "object" && !Array.isArray(value);
