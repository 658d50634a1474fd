/**
 * Estimates of the memory that decision records occupy.
 *
 * @packageDocumentation
 */

import type { AttemptRecord, DecisionRecord, DecisionStep } from "../request/decision-record.js";
import type { RecordedPolicy } from "../request/recorded-route.js";

/** Heap sizes of a decision step, without its candidates and texts, and of a candidate. */
const stepBytes = 1100;
const candidateBytes = 600;

/** Heap sizes of a record, without its steps, attempts and texts, and of an attempt. */
const recordBytes = 1200;
const attemptBytes = 600;

/** Heap sizes of what the records of a version and of a route share, without texts. */
const versionBytes = 300;
const routeBytes = 400;
const policyBytes = 600;

/** Largest size of a character in a text. */
const characterBytes = 2;

const textBytes = (...texts: readonly (string | undefined)[]): number =>
    characterBytes * texts.reduce((sum, text) => sum + (text?.length ?? 0), 0);

/** A part that several records may share, with its size in bytes. */
export interface SharedPart {
    readonly part: object;
    readonly bytes: number;
}

/** Estimates the memory of a finished record in bytes, without the parts that it shares with others. */
export const estimateOwnBytes = ({ steps, attempts }: DecisionRecord): number => {
    const { path, workspace, method } = steps[0]?.input.request ?? {};
    return recordBytes + textBytes(path, workspace, method)
        + steps.reduce((sum, step) => sum + bytesOfStep(step), 0)
        + attempts.reduce((sum, attempt) => sum + bytesOfAttempt(attempt), 0);
};

/** Returns the parts that a record may share with others, with their estimated sizes. */
export const sharedPartsOf = ({ version, route }: DecisionRecord): readonly SharedPart[] => [
    { part: version, bytes: versionBytes },
    { part: route, bytes: routeBytes + textBytes(route.name, route.path, route.kind, route.service) },
    { part: route.policy, bytes: policyBytes + textBytesOfPolicy(route.policy) },
];

const bytesOfStep = ({ input, decision }: DecisionStep): number =>
    stepBytes + candidateBytes * input.upstreams.length
    + textBytes(decision.action === "refuse" ? decision.reason : undefined, decision.policyFailure?.detail);

const bytesOfAttempt = ({ result }: AttemptRecord): number => attemptBytes + textBytes(result?.detail);

const textBytesOfPolicy = ({ source: { name, clauses } }: RecordedPolicy): number => textBytes(name, ...Object.values(clauses));
