/**
 * Policies as sections of a configuration.
 *
 * @packageDocumentation
 */

import { clauseNames, Policy, type PolicyCheckError, type PolicySource } from "@harrierhitch/policy";
import * as z from "zod";
import { checkDocument, type CheckResult } from "./check.js";
import type { ConfigurationValues } from "./configuration-schema.js";
import type { Finding } from "./finding.js";
import { IniDocument } from "./ini-document.js";
import { type ChooserName, policySectionsSchema } from "./policy-schema.js";

/** A policy in force, with the chooser it picks. */
export interface ServicePolicy {
    readonly policy: Policy;
    readonly chooser: ChooserName;
    /** When a caller that was refused should come back, in milliseconds. */
    readonly refuseRetryAfterMs: number;
    /** The same as a share of the request's target latency, in hundredths; 0 for the fixed time. */
    readonly refuseRetryAfterPercent: number;
    /** Longest time for which a request is held back, in hundredths of its target latency; 0 for the service's limit. */
    readonly maximumHoldPercent: number;
    /** Candidates that are asked for their load before the choice. */
    readonly probeCandidates: number;
    /** Longest time for which the choice waits for them, in milliseconds. */
    readonly probeTimeoutMs: number;
    /** When a second attempt begins, in hundredths of the target latency; 0 for never. */
    readonly hedgePercent: number;
}

/** Checks the policies of a document; gives those that pass, by name, and what is wrong with the others. */
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

/** Schema of a file that holds nothing but policies. */
export const policyFileSchema = z.strictObject({ policy: policySectionsSchema });

/**
 * Reads and checks a file of policies, for configurations that name them.
 *
 * @param file - Name of the file, for findings.
 * @param text - The file's text.
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
    const given = clauseNames.filter(clause => section[clause] !== undefined);
    return {
        name,
        clauses: Object.fromEntries(given.map(clause => [clause, section[clause]])),
        lines: Object.fromEntries(given.map(clause => [clause, document.lineOf(`policy.${name}`, clause)])),
    };
};

const policyFinding = (document: IniDocument, error: PolicyCheckError): Finding => {
    const section = `policy.${error.policy}`;
    const line = document.lineOf(section, error.clause);
    return { file: document.file, section, key: error.clause, line, message: error.detail };
};
