/**
 * Reference documentation of a document's keys, generated from its schema.
 *
 * @packageDocumentation
 */

import type { z } from "zod";
import { type KeyDescription, keyDescriptions } from "./key.js";
import { unwrapSchema } from "./unwrap-schema.js";

/** A section of a document and its keys. */
export interface ReferenceSection {
    /** Name, for example `callers` or `service.NAME`; empty for the top level of the document. */
    readonly name: string;
    readonly keys: readonly (KeyDescription & { readonly key: string; })[];
}

/** Returns the sections and keys of a schema. */
export const referenceOf = (schema: z.ZodObject): readonly ReferenceSection[] => sectionsOf("", schema);

const sectionsOf = (name: string, schema: z.ZodObject): readonly ReferenceSection[] => {
    const entries = Object.entries(schema.shape);
    const keys = entries.flatMap(([key, value]) => {
        const description = keyDescriptions.get(value as z.ZodType);
        return description === undefined ? [] : [{ key, ...description }];
    });
    const sections = entries
        .filter(([, value]) => !keyDescriptions.has(value as z.ZodType))
        .flatMap(([key, value]) => childSections(name === "" ? key : `${name}.${key}`, unwrapSchema(value)));
    return keys.length === 0 ? sections : [{ name, keys }, ...sections];
};

const childSections = (name: string, schema: object | undefined): readonly ReferenceSection[] => {
    if (schema !== undefined && "shape" in schema) {
        return sectionsOf(name, schema as z.ZodObject);
    }
    return schema !== undefined && "valueType" in schema ? childSections(`${name}.NAME`, unwrapSchema(schema.valueType)) : [];
};

/** Formats the reference documentation of a schema as Markdown. */
export const referenceMarkdown = (title: string, introduction: string, schema: z.ZodObject): string => {
    const sections = referenceOf(schema).map(section =>
        [
            `## ${section.name === "" ? "Top of the file" : `[${section.name}]`}`,
            "",
            "| key | meaning | value | unit | default |",
            "| --- | --- | --- | --- | --- |",
            ...section.keys.map(key =>
                `| \`${key.key}\` | ${key.description} | ${key.expected} | ${key.unit ?? ""} | ${defaultText(key)} |`
            ),
        ].join("\n")
    );
    return [`# ${title}`, introduction, ...sections].join("\n\n") + "\n";
};

const defaultText = (key: KeyDescription): string => {
    if (key.defaultValue !== undefined) {
        return `\`${key.defaultValue}\``;
    }
    return key.optional === true ? "absent" : "required";
};
