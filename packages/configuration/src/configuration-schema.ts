/**
 * The schema of the published configuration.
 *
 * @packageDocumentation
 */

import { z } from "zod";
import {
    addressKey,
    booleanKey,
    choiceKey,
    integerKey,
    nameKey,
    namePattern,
    numberKey,
    optionalSection,
    optionalTextKey,
    textKey,
} from "./key.js";

/** Names of the choosers that a policy can pick. */
export const chooserNames = [
    "adaptive",
    "lowest-rank",
    "two-choices",
    "least-outstanding",
    "latency-average",
    "round-robin",
    "random",
] as const;

/** Name of a chooser. */
export type ChooserName = typeof chooserNames[number];

const methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"] as const;

const named = <Section extends z.ZodObject>(section: Section) =>
    z.record(z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"), section);

const headerKey = (description: string, defaultValue: string) =>
    textKey({ description, defaultValue, expected: "a header name in lower case", pattern: /^[a-z0-9-]+$/ });

/** Schema of the policies of a document. */
export const policySectionsSchema = named(z.strictObject({
    refuse: optionalTextKey({
        description: "Text expression; a text that is not empty refuses the request with that reason.",
    }),
    refuseRetryAfterMs: integerKey({
        description: "When a caller that was refused should come back.",
        unit: "ms",
        minimum: 0,
        maximum: 3_600_000,
        defaultValue: 1000,
    }),
    hold: optionalTextKey({ description: "True or false expression; while true the request is held back." }),
    filter: optionalTextKey({ description: "True or false expression for one candidate; false leaves it out." }),
    rank: optionalTextKey({ description: "Number expression for one candidate; lower is better." }),
    chooser: choiceKey(chooserNames, { description: "How one of the candidates is picked.", defaultValue: "adaptive" }),
}));

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
        hallHeader: headerKey("Header with the name of the caller's hall.", "x-hall"),
        idempotencyHeader: headerKey("Header with the key of a request that must not run twice.", "idempotency-key"),
        depthHeader: headerKey("Header with the number of harrierhitch hops so far.", "x-harrierhitch-depth"),
        maximumDepth: integerKey({
            description: "Most hops; a deeper call is refused.",
            minimum: 1,
            maximum: 64,
            defaultValue: 9,
        }),
        keyTtlMs: integerKey({
            description: "Time for which keys of requests that must not run twice are kept; at least twice the longest timeout.",
            unit: "ms",
            minimum: 1000,
            maximum: 3_600_000,
            defaultValue: 60_000,
        }),
        trustColdStart: booleanKey({
            description:
                "Whether keys count as new when every listed instance has just started; otherwise they are unknown for keyTtlMs.",
            defaultValue: true,
        }),
        retryPercent: numberKey({
            description: "Most retries, as a share of the requests of this instance.",
            unit: "%",
            minimum: 0,
            maximum: 100,
            defaultValue: 10,
        }),
    }),
    kind: named(z.strictObject({
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
    })),
    service: named(z.strictObject({
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
        loadHeader: headerKey("Header with the upstream's requests in flight.", "x-upstream-in-flight"),
    })),
    upstream: named(z.strictObject({
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
    route: named(z.strictObject({
        method: choiceKey(methods, { description: "HTTP method." }),
        path: textKey({
            description: "Path pattern, for example /seats/:flight or /scans/*.",
            expected: "a path that begins with /",
            pattern: /^\//,
        }),
        service: nameKey({ description: "Service that answers." }),
        kind: nameKey({ description: "Kind of the request." }),
    })),
    policy: policySectionsSchema,
});

/** The values of a published configuration, before its parts are joined. */
export type ConfigurationValues = z.output<typeof configurationSchema>;
