/**
 * `harrierhitch explain` and `harrierhitch replay`.
 *
 * @packageDocumentation
 */

import { fromJsonString, toJson } from "@bufbuild/protobuf";
import { asError } from "@harrierhitch/core";
import { type Explanation, ExplanationSchema } from "@harrierhitch/protocol";
import { defineCommand } from "citty";
import { readFile } from "node:fs/promises";
import { openClient } from "./client.js";
import { addressOf, instanceArgs, jsonArg } from "./common-args.js";
import { formatExplanation } from "./explanation-text.js";
import { exitCodes, InvalidInputError, reportingFailure } from "./failure.js";
import { table, writeJson, writeLine } from "./output.js";
import { replay } from "./replay.js";

/** Shows why a request went where it went. */
export const explainCommand = defineCommand({
    meta: { name: "explain", description: "Show why a request went where it went" },
    args: {
        id: { type: "positional", required: true, description: "Request id, from the header x-harrierhitch-request-id" },
        ...instanceArgs,
        ...jsonArg,
    },
    run: ({ args }) =>
        reportingFailure(async () => {
            const response = await openClient(addressOf(args)).explain({ requestId: args.id });
            const { explanation, instance } = response;
            if (explanation === undefined) {
                throw new InvalidInputError("the instance answered without an explanation");
            }
            if (args.json) {
                writeJson(toJson(ExplanationSchema, explanation));
            }
            else {
                writeLine(formatExplanation(explanation, instance));
            }
            return exitCodes.done;
        }),
});

/** Runs a recorded decision again. */
export const replayCommand = defineCommand({
    meta: { name: "replay", description: "Run a recorded decision again and say whether the choice is the same" },
    args: {
        record: { type: "string", required: true, valueHint: "FILE", description: "Output of explain --json" },
        ...jsonArg,
    },
    run: ({ args }) =>
        reportingFailure(async () => {
            const steps = replay(readExplanation(await readFile(args.record, "utf8")));
            if (args.json) {
                writeJson(steps);
            }
            else {
                const rows = steps.map(step => [String(step.step), step.recorded, step.replayed, step.same ? "same" : "DIFFERS"]);
                writeLine(table(["decision", "recorded", "replayed", ""], rows));
            }
            return steps.every(step => step.same) ? exitCodes.done : exitCodes.differs;
        }),
});

const readExplanation = (text: string): Explanation => {
    try {
        return fromJsonString(ExplanationSchema, text);
    }
    catch (thrown) {
        throw new InvalidInputError(`the record is not the output of explain --json: ${asError(thrown).message}`);
    }
};
