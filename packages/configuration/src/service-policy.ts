/**
 * Policies as sections of a configuration.
 *
 * @packageDocumentation
 */

import { clauseNames, Policy, type PolicyCheckError, type PolicySource } from "@harrierhitch/policy";
import type { ChooserName, ConfigurationValues } from "./configuration-schema.js";
import type { Finding } from "./finding.js";
import type { LocatedIni } from "./located-ini.js";

/** A policy in force, with the chooser it picks. */
export interface ServicePolicy {
    readonly policy: Policy;
    readonly chooser: ChooserName;
    /** When a caller that was refused should come back, in milliseconds. */
    readonly refuseRetryAfterMs: number;
}

/** Checks the policies of a document; gives those that pass, by name, and what is wrong with the others. */
export const checkPolicies = (document: LocatedIni, values: ConfigurationValues["policy"]) => {
    const policies = new Map<string, ServicePolicy>();
    const findings = Object.entries(values).flatMap(([name, section]): readonly Finding[] => {
        const result = Policy.check(policySource(document, name, section));
        if (result instanceof Policy) {
            const { chooser, refuseRetryAfterMs } = section;
            policies.set(name, { policy: result, chooser, refuseRetryAfterMs });
            return [];
        }
        return result.map(error => policyFinding(document, error));
    });
    return { policies, findings };
};

const policySource = (
    document: LocatedIni,
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

const policyFinding = (document: LocatedIni, error: PolicyCheckError): Finding => {
    const section = `policy.${error.policy}`;
    const line = document.lineOf(section, error.clause);
    return { file: document.file, section, key: error.clause, line, message: error.detail };
};
