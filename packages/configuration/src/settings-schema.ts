/**
 * The schema of the daemon's settings.
 *
 * @packageDocumentation
 */

import * as z from "zod";
import {
    choiceKey,
    endpointKey,
    integerKey,
    millisecondsKey,
    nameKey,
    numberKey,
    optionalSection,
    optionalTextKey,
    textKey,
} from "./key.js";
import { boundsSection } from "./settings-bounds.js";
import { budgetsSection } from "./settings-budgets.js";
import { endpointsKey, portKey, tlsKeys, trustsNetworkKey } from "./settings-keys.js";

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
    instance: z.strictObject({
        id: nameKey({ description: "Name of this instance, as in the instance list." }),
        availabilityZone: nameKey({ description: "Availability zone in which this instance runs." }),
    }),
    callers: z.strictObject({
        address: endpointKey({ description: "IP address on which callers are served." }),
        port: portKey("Port on which callers are served; 0 selects a free port."),
        maximumConnections: integerKey({
            description: "Maximum number of caller connections; further connections are closed.",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 10_000,
        }),
        maximumHeaderBytes: integerKey({
            description: "Maximum size of a request head.",
            unit: "bytes",
            minimum: 1024,
            maximum: 262_144,
            defaultValue: 16_384,
        }),
        maximumBodyBytes: integerKey({
            description: "Maximum size of a request body; larger requests are rejected with 413.",
            unit: "bytes",
            minimum: 0,
            maximum: 10_737_418_240,
            defaultValue: 104_857_600,
        }),
        headersTimeoutMs: integerKey({
            description: "Maximum time for a caller to send the request head.",
            unit: "ms",
            minimum: 100,
            maximum: 600_000,
            defaultValue: 10_000,
        }),
        bodyTimeoutMs: integerKey({
            description: "Maximum time for a caller to send the complete request.",
            unit: "ms",
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 300_000,
        }),
        keepAliveTimeoutMs: integerKey({
            description: "Idle time after which a caller's connection is closed.",
            unit: "ms",
            minimum: 100,
            maximum: 3_600_000,
            defaultValue: 60_000,
        }),
        ...tlsKeys,
    }),
    operators: z.strictObject({
        address: endpointKey({ description: "IP address on which operators are served." }),
        port: portKey("Port on which operators are served; 0 selects a free port."),
        trustsNetwork: trustsNetworkKey,
        ...tlsKeys,
    }),
    ready: z.strictObject({
        address: endpointKey({ description: "IP address of the readiness endpoint for the balancer in front." }),
        port: portKey("Port of the readiness endpoint; 0 selects a free port."),
        path: textKey({
            description: "Path of the readiness endpoint.",
            defaultValue: "/readyz",
            expected: "a path",
            pattern: /^\//,
        }),
    }).optional(),
    peers: z.strictObject({
        address: endpointKey({ description: "IP address on which other instances are served, as in the instance list." }),
        port: portKey("Port on which other instances are served; 0 selects a free port."),
        trustsNetwork: trustsNetworkKey,
        seeds: endpointsKey({ description: "Instances that are contacted first to discover the others.", defaultValue: "" }),
        joinDelayMs: integerKey({
            description: "Time after the start for which the instance serves alone before it contacts other instances.",
            unit: "ms",
            minimum: 0,
            maximum: 600_000,
            defaultValue: 0,
        }),
        fleet: nameKey({ description: "Name of the fleet; instances of other fleets are rejected." }),
        hearTimeoutMs: integerKey({
            description:
                "Maximum time for which a new instance waits for contact with other instances before it serves without it.",
            unit: "ms",
            minimum: 0,
            maximum: 600_000,
            defaultValue: 10_000,
        }),
        ...tlsKeys,
    }).optional(),
    platform: z.strictObject({
        addresses: endpointsKey({ description: "Addresses of the configuration service, tried in turn." }),
        configurationKey: textKey({
            description: "Key under which the configuration is published.",
            defaultValue: "configuration",
        }),
        readTimeoutMs: integerKey({
            description: "Maximum time for one read.",
            unit: "ms",
            minimum: 10,
            maximum: 60_000,
            defaultValue: 1000,
        }),
        watchMs: integerKey({
            description: "Time for which a watch request waits for a change.",
            unit: "ms",
            minimum: 100,
            maximum: 300_000,
            defaultValue: 20_000,
        }),
        retryMs: integerKey({
            description: "Time between two attempts while the service is unavailable, with a jitter of up to 50 %.",
            unit: "ms",
            minimum: 10,
            maximum: 60_000,
            defaultValue: 500,
        }),
    }),
    bounds: boundsSection,
    limits: optionalSection({
        recordEntries: integerKey({
            description: "Maximum number of decisions stored for explanations.",
            minimum: 10,
            maximum: 1_000_000,
            defaultValue: 20_000,
        }),
        recordBytes: integerKey({
            description: "Maximum memory for decisions stored for explanations.",
            unit: "bytes",
            minimum: 65_536,
            maximum: 1_073_741_824,
            defaultValue: 16_777_216,
        }),
        replayBodyBytes: integerKey({
            description: "Maximum size of a request body that is buffered for retries; larger bodies are streamed and sent once.",
            unit: "bytes",
            minimum: 0,
            maximum: 1_048_576,
            defaultValue: 65_536,
        }),
        answerBufferBytes: integerKey({
            description:
                "Maximum size of a response that is buffered until it is complete, so that a broken one can be replaced; "
                + "larger ones are streamed.",
            unit: "bytes",
            minimum: 0,
            maximum: 16_777_216,
            defaultValue: 0,
        }),
        readAheadBytes: integerKey({
            description:
                "Maximum memory for what callers have not read of streamed responses; 0 to read only as fast as they do.",
            unit: "bytes",
            minimum: 0,
            maximum: 1_073_741_824,
            defaultValue: 0,
        }),
        readAheadConnectionBytes: integerKey({
            description: "Maximum memory of readAheadBytes for one response.",
            unit: "bytes",
            minimum: 65_536,
            maximum: 1_073_741_824,
            defaultValue: 1_048_576,
        }),
        stopDelayMs: integerKey({
            description: "Time between reporting not ready and closing the callers' port in a planned stop.",
            unit: "ms",
            minimum: 0,
            maximum: 600_000,
            defaultValue: 5000,
        }),
        stopMs: millisecondsKey({
            description:
                "Time from the signal for a planned stop until the process is killed. Requests in flight may use it, except for a "
                + "small part that is reserved for closing; if it is shorter than twice stopDelayMs, the port closes earlier.",
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 65_000,
        }),
    }),
    budgets: budgetsSection,
    policies: optionalSection({
        file: optionalTextKey({
            description: "INI file with policies that every configuration can refer to.",
            expected: "a path",
        }),
    }),
    log: optionalSection({
        level: choiceKey(["debug", "info", "warn", "error"], {
            description: "Minimum level of events that are logged.",
            defaultValue: "info",
        }),
        linesPerSecond: integerKey({
            description: "Maximum rate of log lines; further lines are dropped and counted.",
            unit: "1/s",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 200,
        }),
    }),
    traces: optionalSection({
        otlpUrl: optionalTextKey({
            description: "URL of an OTLP over HTTP receiver of traces; no spans are recorded without it.",
            expected: "a URL with an IP number",
        }),
        queueSpans: integerKey({
            description: "Maximum number of finished spans that wait for export; further spans are dropped and counted.",
            minimum: 16,
            maximum: 100_000,
            defaultValue: 2048,
        }),
        sampleShare: numberKey({
            description: "Share of requests without an incoming trace that are traced.",
            minimum: 0,
            maximum: 1,
            defaultValue: 0.01,
        }),
    }),
});

/** The validated settings of a daemon. */
export type Settings = z.output<typeof settingsSchema>;
