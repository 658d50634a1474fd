/**
 * The schema of the published configuration.
 *
 * @packageDocumentation
 */

import * as z from "zod";
import {
    addressKey,
    booleanKey,
    choiceKey,
    integerKey,
    nameKey,
    numberKey,
    optionalSection,
    optionalTextKey,
    textKey,
} from "./key.js";
import { namedSections, policySectionsSchema } from "./policy-schema.js";

/** Method of a route that matches every HTTP method. */
export const anyMethod = "ANY";

const methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", anyMethod] as const;

/** Which payload of a request kind is large, so that where it is served decides how many bytes cross availability zones. */
export const largePayloads = ["none", "request", "response"] as const;

const headerKey = (description: string, defaultValue: string) =>
    textKey({ description, defaultValue, expected: "a header name in lower case", pattern: /^[a-z0-9-]+$/ });

/** Schema of the published configuration. */
export const configurationSchema = z.strictObject({
    generation: integerKey({
        description: "Number of this configuration; a configuration replaces only configurations with lower numbers.",
        minimum: 1,
        maximum: Number.MAX_SAFE_INTEGER,
    }),
    fleet: optionalSection({
        maximumInstances: integerKey({
            description: "Maximum number of instances at the same time; each budget is divided by this number.",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 18,
        }),
        timeoutHeader: headerKey("Header with the remaining time of the caller in milliseconds.", "x-request-timeout-ms"),
        workspaceHeader: headerKey("Header with the name of the caller's workspace.", "x-workspace"),
        depthHeader: headerKey("Header with the number of harrierhitch hops so far.", "x-harrierhitch-depth"),
        maximumDepth: integerKey({
            description: "Maximum number of hops; requests with more hops are rejected.",
            minimum: 1,
            maximum: 64,
            defaultValue: 9,
        }),
        retryPercent: numberKey({
            description: "Maximum retries, as a share of the requests of this instance.",
            unit: "%",
            minimum: 0,
            maximum: 100,
            defaultValue: 10,
        }),
        probesPerSecond: numberKey({
            description: "Maximum rate of probes from the fleet to one upstream.",
            unit: "1/s",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 20,
        }),
    }),
    callers: optionalSection({
        maximumBodyBytes: integerKey({
            description: "Maximum size of a request body; 0 uses the settings.",
            unit: "bytes",
            minimum: 0,
            maximum: 10_737_418_240,
            defaultValue: 0,
        }),
        keepAliveTimeoutMs: integerKey({
            description: "Idle time after which a caller's connection is closed; 0 uses the settings.",
            unit: "ms",
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
        }),
        headersTimeoutMs: integerKey({
            description: "Maximum time for a caller to send the request head; 0 uses the settings.",
            unit: "ms",
            minimum: 0,
            maximum: 600_000,
            defaultValue: 0,
        }),
    }),
    kind: namedSections(z.strictObject({
        repeatable: booleanKey({ description: "Whether a request of this kind may be executed more than once." }),
        weight: numberKey({
            description: "Relative value of a successful response, for fairness and for load shedding.",
            minimum: 0.01,
            maximum: 1000,
            defaultValue: 1,
        }),
        timeoutMs: integerKey({
            description: "Time limit for the complete response; used if the caller sends none, and the upper bound if it does.",
            unit: "ms",
            minimum: 1,
            maximum: 3_600_000,
            defaultValue: 2000,
        }),
        maximumAttempts: integerKey({
            description: "Maximum attempts for one request, including the first.",
            minimum: 1,
            maximum: 1_000_000,
            defaultValue: 3,
        }),
        targetLatencyMs: integerKey({
            description: "Target latency; 0 for none.",
            unit: "ms",
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
        }),
        priority: integerKey({
            description: "Priority under overload; 0 is the highest.",
            minimum: 0,
            maximum: Number.MAX_SAFE_INTEGER,
            defaultValue: 0,
        }),
        largePayload: choiceKey(largePayloads, {
            description: "Which payload of this kind is large: that of requests, that of responses, or none.",
            defaultValue: "none",
        }),
        policy: optionalTextKey({
            description: "Policy for requests of this kind; replaces the policy of the service.",
            expected: "a policy",
        }),
    })),
    service: namedSections(z.strictObject({
        policy: nameKey({ description: "Policy for requests to this service." }),
        maximumQueued: integerKey({
            description: "Maximum requests in the queue of one instance.",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 200,
        }),
        maximumHoldMs: integerKey({
            description:
                "Maximum time of a request in the queue; overdueHoldPercent of a policy replaces it for overdue requests.",
            unit: "ms",
            minimum: 0,
            maximum: 60_000,
            defaultValue: 500,
        }),
        maximumConnections: integerKey({
            description: "Maximum connections from the fleet to one upstream.",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 200,
        }),
        connectTimeoutMs: integerKey({
            description: "Maximum time for opening a connection.",
            unit: "ms",
            minimum: 1,
            maximum: 60_000,
            defaultValue: 1000,
        }),
        shedStatuses: textKey({
            description: "Status codes of a response to a request that the upstream did not execute, with the shed header.",
            expected: "status codes separated by commas",
            pattern: /^\d{3}(\s*,\s*\d{3})*$/,
            defaultValue: "503, 429",
        }),
        attemptHeader: headerKey(
            "Header with the id of an attempt, which the upstream repeats in all its responses to requests; it proves whose response it is.",
            "x-attempt-id",
        ),
        shedHeader: headerKey(
            "Header with the value not-run, which marks a response to a request that the upstream did not execute.",
            "x-request-outcome",
        ),
        drainHeader: headerKey(
            "Header with the value draining, which an upstream sends while it is draining.",
            "x-upstream-state",
        ),
        limitHeader: headerKey(
            "Header with the rate limit of the upstream for the fleet, in requests per second; absent without a limit.",
            "x-upstream-limit",
        ),
        loadHeader: headerKey("Header with the upstream's requests in flight.", "x-upstream-in-flight"),
        coldRequestsPerSecond: numberKey({
            description: "Maximum request rate from the fleet to one cold upstream; 0 for no limit.",
            unit: "1/s",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 0,
        }),
        probePath: optionalTextKey({
            description: "Path of the upstream's load report; without it, upstreams are not probed.",
            expected: "a path that begins with /",
        }),
    })),
    upstream: namedSections(z.strictObject({
        service: nameKey({ description: "Service to which this upstream belongs." }),
        address: addressKey({ description: "IP address of the upstream." }),
        port: integerKey({ description: "Port of the upstream.", minimum: 1, maximum: 65535 }),
        availabilityZone: nameKey({ description: "Availability zone of the upstream." }),
        slots: integerKey({
            description: "Requests that the upstream serves concurrently.",
            minimum: 1,
            maximum: 10_000,
            defaultValue: 3,
        }),
    })),
    route: namedSections(z.strictObject({
        method: choiceKey(methods, { description: "HTTP method, or ANY." }),
        host: textKey({
            description: "Host of the request; a route without a host matches every host.",
            expected: "a host name in lower case",
            pattern: /^[a-z0-9.:-]*$/,
            defaultValue: "",
        }),
        path: textKey({
            description: "Path pattern, for example /seats/:flight or /scans/*; with the method ANY, a path prefix.",
            expected: "a path that begins with /",
            pattern: /^\//,
        }),
        service: textKey({
            description: "Service that receives the requests, or several services with weights, for example a:90, b:10.",
            expected: "a service, or services with weights separated by commas",
            pattern: /^[a-z0-9][a-z0-9-]*(:\d+(\.\d+)?(\s*,\s*[a-z0-9][a-z0-9-]*:\d+(\.\d+)?)*)?$/,
        }),
        kind: nameKey({ description: "Kind of the request." }),
    })),
    policy: policySectionsSchema,
});

/** The values of a published configuration before its references are resolved. */
export type ConfigurationValues = z.output<typeof configurationSchema>;
