/**
 * The commands `harrierhitch explain` and `harrierhitch replay`.
 *
 * @packageDocumentation
 */

import { fromJsonString, toJson } from "@bufbuild/protobuf";
import { asError } from "@harrierhitch/core";
import { type Explanation, ExplanationSchema } from "@harrierhitch/protocol";
import { defineCommand } from "citty";
import { readFile } from "node:fs/promises";
import { createOperatorClient } from "./client.js";
import { addressOf, instanceArgs, jsonArg } from "./common-args.js";
import { formatExplanation } from "./explanation-text.js";
import { exitCodes, InvalidInputError, runWithExitCode } from "./failure.js";
import { table, writeJson, writeLine } from "./output.js";
import { replay } from "./replay.js";

/** Shows the decisions and attempts of a request. */
export const explainCommand = defineCommand({
    meta: { name: "explain", description: "Show the decisions and attempts of a request" },
    args: {
        id: { type: "positional", required: true, description: "Request id, from the header x-harrierhitch-request-id" },
        ...instanceArgs,
        ...jsonArg,
    },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const response = await createOperatorClient(addressOf(args)).explain({ requestId: args.id });
            const { explanation, instance } = response;
            if (explanation === undefined) {
                throw new InvalidInputError("the response of the instance has no explanation");
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

/** Replays the decisions of a recorded explanation. */
export const replayCommand = defineCommand({
    meta: { name: "replay", description: "Replay recorded decisions and report whether the results are the same" },
    args: {
        record: { type: "string", required: true, valueHint: "FILE", description: "Output of explain --json" },
        ...jsonArg,
    },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const steps = replay(parseExplanation(await readFile(args.record, "utf8")));
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

const parseExplanation = (text: string): Explanation => {
    try {
        return fromJsonString(ExplanationSchema, text);
    }
    catch (thrown) {
        throw new InvalidInputError(`the record is not the output of explain --json: ${asError(thrown).message}`);
    }
};
