/**
 * The command `harrierhitch check`.
 *
 * @packageDocumentation
 */

import { checkConfiguration, checkPolicyFile, checkSettings, type Finding, formatFinding } from "@harrierhitch/configuration";
import { defineCommand } from "citty";
import { readFile } from "node:fs/promises";
import { jsonArg } from "./common-args.js";
import { exitCodes, InvalidInputError, runWithExitCode } from "./failure.js";
import { writeJson, writeLine } from "./output.js";

const checks = {
    settings: checkSettings,
    configuration: checkConfiguration,
    policies: checkPolicyFile,
} as const;

type DocumentKind = keyof typeof checks;

/** Checks a document without contacting an instance. */
export const checkCommand = defineCommand({
    meta: {
        name: "check",
        description: "Check a settings file, a configuration or a file of policies. References: docs/reference/",
    },
    args: {
        file: { type: "positional", required: true, description: "The file" },
        kind: {
            type: "string",
            valueHint: "settings|configuration|policies",
            description: "Kind of the file; detected from its content by default",
        },
        ...jsonArg,
    },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const text = await readFile(args.file, "utf8");
            const kind = parseKind(args.kind) ?? detectKind(text);
            const { findings } = checks[kind](args.file, text);
            report(args.file, kind, findings, args.json);
            return findings.length === 0 ? exitCodes.done : exitCodes.invalid;
        }),
});

const parseKind = (name: string | undefined): DocumentKind | undefined => {
    if (name !== undefined && !Object.hasOwn(checks, name)) {
        throw new InvalidInputError(`unknown kind ${name}, expected settings, configuration or policies`);
    }
    return name as DocumentKind | undefined;
};

const detectKind = (text: string): DocumentKind => {
    if (/^\s*\[instance\]/m.test(text)) {
        return "settings";
    }
    return /^\s*generation\s*=/m.test(text) ? "configuration" : "policies";
};

const report = (file: string, kind: DocumentKind, findings: readonly Finding[], json: boolean): void => {
    if (json) {
        writeJson({ file, kind, findings });
    }
    else if (findings.length === 0) {
        writeLine(`${file}: valid ${kind}`);
    }
    else {
        findings.forEach(finding => writeLine(formatFinding(finding)));
    }
};
