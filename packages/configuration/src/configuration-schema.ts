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

/** The method of a route that takes requests of every method. */
export const anyMethod = "ANY";

const methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", anyMethod] as const;

const headerKey = (description: string, defaultValue: string) =>
    textKey({ description, defaultValue, expected: "a header name in lower case", pattern: /^[a-z0-9-]+$/ });

/** Schema of the published configuration. */
export const configurationSchema = z.strictObject({
    generation: integerKey({
        description: "Number of this configuration; a higher one replaces a lower one, never the other way round.",
        minimum: 1,
        maximum: Number.MAX_SAFE_INTEGER,
    }),
    fleet: optionalSection({
        maximumInstances: integerKey({
            description: "Most entry instances at the same time; each takes this fraction of every budget.",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 18,
        }),
        timeoutHeader: headerKey("Header with the milliseconds that the caller will still wait.", "x-request-timeout-ms"),
        workspaceHeader: headerKey("Header with the name of the caller's workspace.", "x-workspace"),
        depthHeader: headerKey("Header with the number of harrierhitch hops so far.", "x-harrierhitch-depth"),
        maximumDepth: integerKey({
            description: "Most hops; a deeper call is refused.",
            minimum: 1,
            maximum: 64,
            defaultValue: 9,
        }),
        retryPercent: numberKey({
            description: "Most retries, as a share of the requests of this instance.",
            unit: "%",
            minimum: 0,
            maximum: 100,
            defaultValue: 10,
        }),
        probesPerSecond: numberKey({
            description: "Most probes of one upstream by the whole fleet.",
            unit: "1/s",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 20,
        }),
    }),
    callers: optionalSection({
        maximumBodyBytes: integerKey({
            description: "Largest request body; 0 leaves it to the settings.",
            unit: "bytes",
            minimum: 0,
            maximum: 10_737_418_240,
            defaultValue: 0,
        }),
        keepAliveTimeoutMs: integerKey({
            description: "Idle time after which a caller's connection is closed; 0 leaves it to the settings.",
            unit: "ms",
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
        }),
        headersTimeoutMs: integerKey({
            description: "Longest time for a caller to send its request head; 0 leaves it to the settings.",
            unit: "ms",
            minimum: 0,
            maximum: 600_000,
            defaultValue: 0,
        }),
    }),
    kind: namedSections(z.strictObject({
        repeatable: booleanKey({ description: "Whether a request of this kind may run more than once." }),
        weight: numberKey({
            description: "Worth of one correct answer, for fairness and for refusing under overload.",
            minimum: 0.01,
            maximum: 1000,
            defaultValue: 1,
        }),
        timeoutMs: integerKey({
            description: "Time for the whole answer when the caller names none, and the most it can name.",
            unit: "ms",
            minimum: 1,
            maximum: 3_600_000,
            defaultValue: 2000,
        }),
        maximumAttempts: integerKey({
            description: "Most attempts for one request, the first included.",
            minimum: 1,
            maximum: 10,
            defaultValue: 3,
        }),
        targetLatencyMs: integerKey({
            description: "Time within which an answer is worth most; 0 when there is none.",
            unit: "ms",
            minimum: 0,
            maximum: 3_600_000,
            defaultValue: 0,
        }),
        priority: integerKey({
            description: "Rank under overload; 0 is the most urgent.",
            minimum: 0,
            maximum: 1000,
            defaultValue: 0,
        }),
        policy: optionalTextKey({
            description: "Policy that decides for this kind, in place of the service's.",
            expected: "a policy",
        }),
    })),
    service: namedSections(z.strictObject({
        policy: nameKey({ description: "Policy that decides for this service." }),
        maximumQueued: integerKey({
            description: "Most requests held back at one instance.",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 200,
        }),
        maximumHoldMs: integerKey({
            description: "Longest time for which a request is held back.",
            unit: "ms",
            minimum: 0,
            maximum: 60_000,
            defaultValue: 500,
        }),
        maximumConnections: integerKey({
            description: "Most connections to one upstream from the whole fleet.",
            minimum: 1,
            maximum: 100_000,
            defaultValue: 200,
        }),
        connectTimeoutMs: integerKey({
            description: "Longest time for opening a connection.",
            unit: "ms",
            minimum: 1,
            maximum: 60_000,
            defaultValue: 1000,
        }),
        shedStatuses: textKey({
            description: "Status codes by which an upstream says that it did not run a request, together with the shed header.",
            expected: "status codes separated by commas",
            pattern: /^\d{3}(\s*,\s*\d{3})*$/,
            defaultValue: "503, 429",
        }),
        shedHeader: headerKey(
            "Header by which an upstream marks an answer as not run; its value is not-run.",
            "x-request-outcome",
        ),
        drainHeader: headerKey("Header by which an upstream says that it is leaving; its value is draining.", "x-upstream-state"),
        limitHeader: headerKey(
            "Header with the requests a second that an upstream takes from the whole fleet; absent while it names no limit.",
            "x-upstream-limit",
        ),
        loadHeader: headerKey("Header with the upstream's requests in flight.", "x-upstream-in-flight"),
        coldRequestsPerSecond: numberKey({
            description:
                "Requests a second that one upstream bears from the whole fleet while it is cold; 0 does not bound them.",
            unit: "1/s",
            minimum: 0,
            maximum: 100_000,
            defaultValue: 0,
        }),
        probePath: optionalTextKey({
            description: "Path at which an upstream tells its load; it is never probed without one.",
            expected: "a path that begins with /",
        }),
    })),
    upstream: namedSections(z.strictObject({
        service: nameKey({ description: "Service to which this upstream belongs." }),
        address: addressKey({ description: "IP number of the upstream." }),
        port: integerKey({ description: "Port of the upstream.", minimum: 1, maximum: 65535 }),
        availabilityZone: nameKey({ description: "Availability zone of the upstream." }),
        slots: integerKey({
            description: "Requests that the upstream serves at the same time.",
            minimum: 1,
            maximum: 10_000,
            defaultValue: 3,
        }),
    })),
    route: namedSections(z.strictObject({
        method: choiceKey(methods, { description: "HTTP method, or ANY." }),
        host: textKey({
            description: "Host that the request names; a route without one takes every host.",
            expected: "a host name in lower case",
            pattern: /^[a-z0-9.:-]*$/,
            defaultValue: "",
        }),
        path: textKey({
            description: "Path pattern, for example /seats/:flight or /scans/*; with the method ANY, the beginning of the path.",
            expected: "a path that begins with /",
            pattern: /^\//,
        }),
        service: textKey({
            description: "Service that answers, or several that share the requests by weight, for example a:90, b:10.",
            expected: "a service, or services with weights separated by commas",
            pattern: /^[a-z0-9][a-z0-9-]*(:\d+(\.\d+)?(\s*,\s*[a-z0-9][a-z0-9-]*:\d+(\.\d+)?)*)?$/,
        }),
        kind: nameKey({ description: "Kind of the request." }),
    })),
    policy: policySectionsSchema,
});

/** The values of a published configuration, before its parts are joined. */
export type ConfigurationValues = z.output<typeof configurationSchema>;
