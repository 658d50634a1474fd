/**
 * The schema of policies.
 *
 * @packageDocumentation
 */

import * as z from "zod";
import { choiceKey, integerKey, namePattern, optionalTextKey } from "./key.js";

/** Names of the choosers that a policy can pick. */
export const chooserNames = [
    "adaptive",
    "expected-time",
    "lowest-rank",
    "two-choices",
    "least-outstanding",
    "latency-average",
    "round-robin",
    "random",
] as const;

/** Name of a chooser. */
export type ChooserName = typeof chooserNames[number];

/** Sections with names of their own, for example `[policy.main]`. */
export const namedSections = <Section extends z.ZodObject>(section: Section) =>
    z.record(z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"), section);

/** Schema of the policies of a document. */
export const policySectionsSchema = namedSections(z.strictObject({
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
    refuseRetryAfterPercent: integerKey({
        description: "When such a caller should come back, as a share of its target latency; 0 for refuseRetryAfterMs.",
        unit: "%",
        minimum: 0,
        maximum: 10_000,
        defaultValue: 0,
    }),
    hold: optionalTextKey({ description: "True or false expression; while true the request is held back." }),
    maximumHoldPercent: integerKey({
        description:
            "Longest time for which a request is held back, as a share of its target latency; 0 for the service's limit.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
    filter: optionalTextKey({ description: "True or false expression for one candidate; false leaves it out." }),
    rank: optionalTextKey({ description: "Number expression for one candidate; lower is better." }),
    chooser: choiceKey(chooserNames, { description: "How one of the candidates is picked.", defaultValue: "adaptive" }),
    probeCandidates: integerKey({
        description: "How many of the best candidates are asked for their load just before the choice; 0 asks none.",
        minimum: 0,
        maximum: 16,
        defaultValue: 0,
    }),
    probeTimeoutMs: integerKey({
        description: "Longest time for which a choice waits for answers to its probes.",
        unit: "ms",
        minimum: 1,
        maximum: 1000,
        defaultValue: 12,
    }),
    hedgePercent: integerKey({
        description: "When a second attempt of a repeatable request begins, as a share of its target latency; 0 begins none.",
        unit: "%",
        minimum: 0,
        maximum: 1000,
        defaultValue: 0,
    }),
}));
