/**
 * Validation of the policies of a configuration or policy file.
 *
 * @packageDocumentation
 */

import { clauseNames, Policy, type PolicyCheckError, type PolicySource } from "@harrierhitch/policy";
import * as z from "zod";
import { checkDocument, type CheckResult } from "./check.js";
import type { ConfigurationValues } from "./configuration-schema.js";
import type { Finding } from "./finding.js";
import { IniDocument } from "./ini-document.js";
import {
    type ChooserName,
    type Exploration,
    policySectionsSchema,
    type RetryAfterMode,
    type ZonePlacementName,
} from "./policy-schema.js";

/** A checked policy with its chooser and timing parameters. */
export interface ServicePolicy {
    readonly policy: Policy;
    readonly chooser: ChooserName;
    /** Retry-After of refused requests in milliseconds. */
    readonly refuseRetryAfterMs: number;
    /** Retry-After of refused requests in percent of the target latency; 0 to use `refuseRetryAfterMs`. */
    readonly refuseRetryAfterPercent: number;
    /** Maximum time in the queue in percent of the target latency; 0 to use the service's limit. */
    readonly maximumHoldPercent: number;
    /**
     * Maximum time in the queue of a request whose target has passed, in percent of the target latency; 0 for the same limits as
     * before the target.
     */
    readonly overdueHoldPercent: number;
    /** Share of the optimal concurrency that is left to more urgent requests that lack headroom, in percent. */
    readonly reservePercent: number;
    /** How the Retry-After of refused requests is determined. */
    readonly retryAfter: RetryAfterMode;
    /** Which requests may use an upstream beyond its known optimal concurrency. */
    readonly exploration: Exploration;
    /** Which availability zones requests may be sent to. */
    readonly zonePlacement: ZonePlacementName;
    /** Number of candidates that are probed for their load before a selection. */
    readonly probeCandidates: number;
    /** Maximum time to wait for these probes in milliseconds. */
    readonly probeTimeoutMs: number;
    /** Delay before a hedged attempt in percent of the target latency; 0 disables hedging. */
    readonly hedgePercent: number;
    /** Time after which an attempt without a response may count as stalled, in percent of the target latency; 0 for never. */
    readonly stallPercent: number;
}

/** Checks the policies of a document; returns the valid ones by name and the findings for the others. */
export const checkPolicies = (document: IniDocument, values: ConfigurationValues["policy"]) => {
    const policies = new Map<string, ServicePolicy>();
    const findings = Object.entries(values).flatMap(([name, section]): readonly Finding[] => {
        const result = Policy.check(policySource(document, name, section));
        if (result instanceof Policy) {
            policies.set(name, { ...section, policy: result });
            return [];
        }
        return result.map(error => policyFinding(document, error));
    });
    return { policies, findings };
};

/** Schema of a file that contains only policies. */
export const policyFileSchema = z.strictObject({ policy: policySectionsSchema });

/**
 * Parses and checks a file of policies that configurations can refer to.
 *
 * @param file - File name for findings.
 * @param text - The text of the file.
 * @returns The policies by name, or all findings.
 */
export const checkPolicyFile = (file: string, text: string): CheckResult<ReadonlyMap<string, ServicePolicy>> => {
    const document = IniDocument.parse(file, text);
    const checked = checkDocument(document, policyFileSchema);
    if (checked.value === undefined) {
        return checked;
    }
    const { policies, findings } = checkPolicies(document, checked.value.policy);
    return findings.length > 0 ? { value: undefined, findings } : { value: policies, findings: [] };
};

const policySource = (
    document: IniDocument,
    name: string,
    section: ConfigurationValues["policy"][string],
): PolicySource => {
    const definedClauses = clauseNames.filter(clause => section[clause] !== undefined);
    return {
        name,
        clauses: Object.fromEntries(definedClauses.map(clause => [clause, section[clause]])),
        lines: Object.fromEntries(definedClauses.map(clause => [clause, document.lineOf(`policy.${name}`, clause)])),
    };
};

const policyFinding = (document: IniDocument, error: PolicyCheckError): Finding => {
    const section = `policy.${error.policy}`;
    const line = document.lineOf(section, error.clause);
    return { file: document.file, section, key: error.clause, line, message: error.detail };
};
