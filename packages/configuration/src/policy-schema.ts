/**
 * The schema of policy sections.
 *
 * @packageDocumentation
 */

import * as z from "zod";
import { choiceKey, integerKey, namePattern, optionalTextKey } from "./key.js";

/** Names of the choosers that a policy can use. */
export const chooserNames = [
    "adaptive",
    "expected-completion",
    "expected-time",
    "lowest-rank",
    "two-choices",
    "least-outstanding",
    "latency-average",
    "round-robin",
    "random",
] as const;

export type ChooserName = typeof chooserNames[number];

/** When a request may explore an upstream beyond the concurrency that is known to be good. */
export const explorations = ["when-refused", "when-held"] as const;

export type Exploration = typeof explorations[number];

/** Which availability zones a request may be sent to: all, or other zones only if the own one cannot serve it in time. */
export const zonePlacementNames = ["any", "nearest-in-time"] as const;

export type ZonePlacementName = typeof zonePlacementNames[number];

/** How the Retry-After of refused requests is determined. */
export const retryAfterModes = ["fixed", "expected-room"] as const;

export type RetryAfterMode = typeof retryAfterModes[number];

/** Schema of sections whose names are set by the operator, for example `[policy.main]`. */
export const namedSections = <Section extends z.ZodObject>(section: Section) =>
    z.record(z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"), section);

/** Schema of all policy sections of a document. */
export const policySectionsSchema = namedSections(z.strictObject({
    refuse: optionalTextKey({
        description: "Text expression; if the result is not empty, the request is refused with it as the reason.",
    }),
    refuseRetryAfterMs: integerKey({
        description: "Retry-After for refused requests.",
        unit: "ms",
        minimum: 0,
        maximum: 3_600_000,
        defaultValue: 1000,
    }),
    refuseRetryAfterPercent: integerKey({
        description: "Retry-After for refused requests, as a share of the target latency; 0 to use refuseRetryAfterMs.",
        unit: "%",
        minimum: 0,
        maximum: 10_000,
        defaultValue: 0,
    }),
    retryAfter: choiceKey(retryAfterModes, {
        description: "How the Retry-After of refused requests is determined: fixed by the two keys above, or from when room is "
            + "expected after the queue and the requests already told to return, at most a third of the caller's remaining time.",
        defaultValue: "fixed",
    }),
    hold: optionalTextKey({ description: "True or false expression; while it is true, the request waits in the queue." }),
    maximumHoldPercent: integerKey({
        description: "Maximum time in the queue, as a share of the target latency; 0 to use the service's limit.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
    overdueHoldPercent: integerKey({
        description:
            "Maximum time in the queue of a request whose target has passed, as a share of the target latency. It replaces "
            + "maximumHoldPercent and the service's limit; 0 to use these.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
    reservePercent: integerKey({
        description:
            "Share of the optimal concurrency that a request leaves free within one second after a more urgent request of "
            + "the service lacked headroom; one in four requests is exempt.",
        unit: "%",
        minimum: 0,
        maximum: 100,
        defaultValue: 0,
    }),
    filter: optionalTextKey({ description: "True or false expression for one candidate; false excludes the candidate." }),
    rank: optionalTextKey({ description: "Number expression for one candidate; a lower result is better." }),
    chooser: choiceKey(chooserNames, { description: "How one of the candidates is selected.", defaultValue: "adaptive" }),
    exploration: choiceKey(explorations, {
        description: "Which requests may use an upstream beyond its known optimal concurrency, one at a time for each service: "
            + "those that would be refused, or also those that would wait.",
        defaultValue: "when-refused",
    }),
    zonePlacement: choiceKey(zonePlacementNames, {
        description: "Which availability zones a request may be sent to: any, or others than that of the instance only if it "
            + "has no upstream with headroom that would serve the request within its target latency.",
        defaultValue: "any",
    }),
    probeCandidates: integerKey({
        description: "Number of best candidates that are probed for their load before the selection; 0 disables probes.",
        minimum: 0,
        maximum: 16,
        defaultValue: 0,
    }),
    probeTimeoutMs: integerKey({
        description: "Maximum time for which the selection waits for probe responses.",
        unit: "ms",
        minimum: 1,
        maximum: 1000,
        defaultValue: 12,
    }),
    hedgePercent: integerKey({
        description:
            "Delay before a hedged attempt of a repeatable request, as a share of the target latency; 0 disables hedging.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
    stallPercent: integerKey({
        description: "Time without a response after which an attempt counts as stalled if its upstream responds on other "
            + "connections, as a share of the target latency; 0 for never.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
}));
