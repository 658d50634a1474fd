/**
 * Problem responses (RFC 9457): all error responses that the daemon itself generates.
 *
 * @packageDocumentation
 */

import type { Outcome, RequestId } from "@harrierhitch/core";

/** The kinds of problems with status and title. The kinds are stable. */
export const problemKinds = {
    "bad-request": { status: 400, title: "The request is not valid HTTP" },
    "no-route": { status: 404, title: "No route matches the request" },
    "request-timeout": { status: 408, title: "The request took too long to arrive" },
    "body-too-large": { status: 413, title: "The request body is too large" },
    "expectation-failed": { status: 417, title: "The expectation is not supported" },
    "headers-too-large": { status: 431, title: "The request head is too large" },
    "internal": { status: 500, title: "The load balancer failed" },
    "upgrade-not-supported": { status: 501, title: "Protocol upgrades are not supported" },
    "upstream-failed": { status: 502, title: "The upstream failed" },
    "interrupted": { status: 502, title: "The instance stopped before a response" },
    "refused": { status: 503, title: "The policy refuses the request" },
    "no-upstream": { status: 503, title: "No upstream takes the request" },
    "overloaded": { status: 503, title: "The request cannot be served in time" },
    "withheld": { status: 503, title: "Upstreams end under the request" },
    "stopping": { status: 503, title: "The instance stops" },
    "not-ready": { status: 503, title: "The instance has no configuration yet" },
    "outdated": { status: 503, title: "The instance waits for published changes" },
    "deadline": { status: 504, title: "The deadline has passed" },
    "too-deep": { status: 508, title: "The call is too deep" },
} as const;

/** Kind of a problem; the last part of its type URN. */
export type ProblemKind = keyof typeof problemKinds;

export interface Problem {
    readonly kind: ProblemKind;
    /** Human-readable description. */
    readonly detail: string;
    /** Whether the request ran. */
    readonly outcome: Outcome;
    /** Milliseconds after which a retry makes sense; absent if none does. */
    readonly retryAfterMs?: number;
}

/** Header with the outcome of the request: whether it ran. */
export const outcomeHeader = "x-request-outcome";

export const problemBody = (problem: Problem, id: RequestId | undefined) => ({
    type: `urn:harrierhitch:problem:${problem.kind}`,
    title: problemKinds[problem.kind].title,
    status: problemKinds[problem.kind].status,
    detail: problem.detail,
    outcome: problem.outcome,
    ...(id === undefined ? {} : { instance: `urn:harrierhitch:request:${id}` }),
});

export const problemHeaders = (problem: Problem, bodyBytes: number): Record<string, string | number> => ({
    "content-type": "application/problem+json",
    "content-length": bodyBytes,
    [outcomeHeader]: problem.outcome,
    ...(problem.retryAfterMs === undefined ? {} : { "retry-after": Math.ceil(problem.retryAfterMs / 1000) }),
});
