/**
 * The commands `harrierhitch status`, `watch`, `drain` and `metrics`.
 *
 * @packageDocumentation
 */

import { toJson } from "@bufbuild/protobuf";
import { sleep, SystemClock } from "@harrierhitch/core";
import {
    type GetStatusResponse,
    GetStatusResponseSchema,
    type InstanceStatus,
    type UpstreamStatus,
} from "@harrierhitch/protocol";
import { defineCommand } from "citty";
import { Agent, request } from "undici";
import { baseUrl, createOperatorClient, tlsOptions } from "./client.js";
import { addressOf, instanceArgs, jsonArg } from "./common-args.js";
import { exitCodes, InvalidInputError, runWithExitCode } from "./failure.js";
import { formatCount, formatMs, paint, table, writeJson, writeLine } from "./output.js";

/** Shows the instances and the upstreams as each instance sees them. */
export const statusCommand = defineCommand({
    meta: {
        name: "status",
        description: "Show instances with their active generations, and upstreams with their states and the reasons",
    },
    args: { ...instanceArgs, ...jsonArg },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const status = await createOperatorClient(addressOf(args)).getStatus({});
            if (args.json) {
                writeJson(toJson(GetStatusResponseSchema, status));
            }
            else {
                writeLine(statusText(status));
            }
            return exitCodes.done;
        }),
});

/** Shows the status repeatedly. */
export const watchCommand = defineCommand({
    meta: { name: "watch", description: "Show the status repeatedly until interrupted" },
    args: {
        ...instanceArgs,
        intervalMs: { type: "string", default: "1000", valueHint: "MS", description: "Time between two updates in milliseconds" },
        times: { type: "string", default: "0", description: "Number of updates; 0 for no limit" },
    },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const client = createOperatorClient(addressOf(args));
            const intervalMs = parseInteger("intervalMs", args.intervalMs);
            const times = parseInteger("times", args.times);
            const clock = new SystemClock();
            for (let update = 0; times === 0 || update < times; update += 1) {
                const text = statusText(await client.getStatus({}));
                writeLine(process.stdout.isTTY ? `\u001b[2J\u001b[H${text}` : text);
                if (times === 0 || update + 1 < times) {
                    await sleep(clock, intervalMs);
                }
            }
            return exitCodes.done;
        }),
});

/** Starts a planned stop of the addressed instance. */
export const drainCommand = defineCommand({
    meta: { name: "drain", description: "Start a planned stop of the addressed instance; requests in flight finish first" },
    args: { ...instanceArgs, ...jsonArg },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const { closesInMs } = await createOperatorClient(addressOf(args)).drain({});
            if (args.json) {
                writeJson({ closesInMs });
            }
            else {
                writeLine(`${args.instance} stops: readiness is off, the callers' port closes in ${formatMs(closesInMs)}`);
            }
            return exitCodes.done;
        }),
});

/** Prints the metrics of the addressed instance. */
export const metricsCommand = defineCommand({
    meta: { name: "metrics", description: "Print the metrics of the addressed instance" },
    args: { ...instanceArgs },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const address = addressOf(args);
            const dispatcher = new Agent({ connect: tlsOptions(address) });
            const response = await request(`${baseUrl(address)}/metrics`, { dispatcher });
            process.stdout.write(await response.body.text());
            await dispatcher.close();
            return response.statusCode === 200 ? exitCodes.done : exitCodes.failed;
        }),
});

const parseInteger = (name: string, text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidInputError(`--${name}: found ${text}, expected a whole number`);
    }
    return Number(text);
};

/** Describes the status of instances for operators. */
export const statusText = (status: GetStatusResponse): string =>
    [
        table(
            ["instance", "zone", "version", "state", "generation", "hash", "in flight", "platform heard", "zones out", "records"],
            status.instances.map(instanceCells),
        ),
        ...status.instances.flatMap(rejectionLines),
        ...(status.unreachable.length === 0 ? [] : [paint.red(`did not answer: ${status.unreachable.join(", ")}`)]),
        "",
        table(
            ["instance", "service", "upstream", "zone", "state", "in flight", "limit", "latency", "reported", "failures", "why"],
            status.instances.flatMap(instance => instance.upstreams.map(upstream => upstreamCells(instance, upstream))),
        ),
    ].join("\n");

const rejectionLines = ({ instance, generation, rejectionFindings }: InstanceStatus): readonly string[] =>
    rejectionFindings.map(finding =>
        paint.red(`${instance} rejected the newest configuration, generation ${generation} remains active: ${finding}`)
    );

const instanceCells = (instance: InstanceStatus): readonly string[] => [
    instance.instance,
    instance.availabilityZone,
    instance.version,
    instance.state,
    String(instance.generation),
    instance.configurationHash.slice(0, 12),
    String(instance.requestsInFlight),
    instance.platformAgeMs < 0 ? "never" : `${formatMs(instance.platformAgeMs)} ago`,
    instance.zonesOut.join(", "),
    String(instance.records),
];

const upstreamCells = (instance: InstanceStatus, { service, facts, why }: UpstreamStatus): readonly string[] => [
    instance.instance,
    service,
    facts?.id ?? "",
    facts?.availabilityZone ?? "",
    facts?.state ?? "",
    String(facts?.inFlight ?? 0),
    String(facts?.limit ?? 0),
    formatMs(facts?.latencyMs ?? -1),
    formatCount(facts?.reportedInFlight ?? -1),
    `${((facts?.failureRate ?? 0) * 100).toFixed(0)} %`,
    why,
];
