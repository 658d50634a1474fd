/**
 * `harrierhitch reference`.
 *
 * @packageDocumentation
 */

import { configurationSchema, policyFileSchema, referenceMarkdown, settingsSchema } from "@harrierhitch/configuration";
import { defineCommand } from "citty";
import { exitCodes, InvalidInputError, reportingFailure } from "./failure.js";
import { scenarioSchema } from "./scenario.js";

/** The references by name, as Markdown. */
export const references: Readonly<Record<string, string>> = {
    settings: referenceMarkdown(
        "Settings",
        "One INI file for each daemon, named by `harrierhitchd --settings`. Made by `npm run reference`; do not edit.",
        settingsSchema,
    ),
    configuration: referenceMarkdown(
        "Configuration",
        "What operators publish under the platform's key `configuration`, as INI. Made by `npm run reference`; do not edit.",
        configurationSchema,
    ),
    policies: referenceMarkdown(
        "Policies",
        "A file of policies that the settings name, as INI. Made by `npm run reference`; do not edit.",
        policyFileSchema,
    ),
    scenario: referenceMarkdown(
        "Scenario",
        "What `harrierhitch try --request` reads, as INI. Made by `npm run reference`; do not edit.",
        scenarioSchema,
    ),
};

/** Prints the reference of a document. */
export const referenceCommand = defineCommand({
    meta: { name: "reference", description: "Print the reference of every key as Markdown" },
    args: {
        document: { type: "positional", required: true, description: `One of ${Object.keys(references).join(", ")}` },
    },
    run: ({ args }) =>
        reportingFailure(() => {
            const text = references[args.document];
            if (text === undefined) {
                throw new InvalidInputError(
                    `unknown document ${args.document}, expected one of ${Object.keys(references).join(", ")}`,
                );
            }
            process.stdout.write(text);
            return exitCodes.done;
        }),
});
