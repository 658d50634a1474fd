/**
 * Formats explanations for terminal output.
 *
 * @packageDocumentation
 */

import type { Attempt, Candidate, Explanation, Step } from "@harrierhitch/protocol";
import { formatCount, formatMs, paint, table } from "./output.js";

export const formatExplanation = (explanation: Explanation, instance: string): string =>
    [
        ...headerLines(explanation, instance),
        "",
        ...policyLines(explanation),
        ...explanation.steps.flatMap((step, index) => ["", ...stepLines(step, index + 1)]),
        ...attemptLines(explanation.attempts),
        "",
        outcomeLine(explanation),
    ].join("\n");

const headerLines = (explanation: Explanation, instance: string): readonly string[] => {
    const request = explanation.steps[0]?.request;
    const arrivedAt = new Date(explanation.arrivedAtUnixMs).toISOString();
    return [
        `${paint.bold("Request")} ${explanation.requestId}, decided by instance ${instance}`,
        ...(request === undefined
            ? []
            : [`${request.method} ${request.path}, kind ${request.kind}, workspace ${
                request.workspace === "" ? "unknown" : request.workspace
            }`]),
        `Arrived ${arrivedAt}, route ${explanation.route} to service ${explanation.service}, trace ${explanation.traceId}`,
        `Configuration generation ${explanation.generation}, hash ${explanation.configurationHash.slice(0, 12)}`,
    ];
};

const policyLines = ({ policy }: Explanation): readonly string[] =>
    policy === undefined ? [] : [
        `${paint.bold("Policy")} ${policy.name}, chooser ${policy.chooser}`,
        ...policy.clauses.map(clause => `  line ${clause.line}: ${clause.name} = ${clause.expression}`),
    ];

const stepLines = (step: Step, number: number): readonly string[] => [
    `${paint.bold(`Decision ${number}`)} at ${formatMs(step.atMs)}: ${actionText(step)}`,
    ...(step.failedClause === "" ? [] : [`  clause ${step.failedClause} failed: ${step.failureDetail}; safe default used`]),
    `  ${step.request === undefined ? "" : `${formatMs(step.request.remainingMs)} left, `}${serviceText(step)}`,
    ...targetLines(step),
    `  draws ${step.draws.map(draw => draw.toFixed(4)).join(" ")}, turn ${step.turn}`
    + (step.tried.length === 0 ? "" : `, already tried ${step.tried.join(", ")}`),
    indent(table(candidateHeadings, step.candidates.map(candidate => candidateCells(candidate, step.upstream)))),
];

const actionText = (step: Step): string => {
    switch (step.action) {
        case "choose":
            return `send to ${paint.green(step.upstream)} (${step.chooser}${
                step.isTrial ? ", a trial of a fuller upstream" : ""
            })`;
        case "hold":
            return paint.yellow(`hold back (${step.cause})`);
        default:
            return paint.red(`refuse (${step.cause}: ${step.reason}), come back after ${formatMs(step.retryAfterMs)}`);
    }
};

const serviceText = ({ service }: Step): string =>
    service === undefined
        ? ""
        : `${service.inFlight} in flight, ${service.queued} held back, ${service.candidates} of ${service.upstreams} upstreams free, `
            + `the best in ${service.bestTime.toFixed(2)} times usual work with room for ${service.room.toFixed(2)}`;

const targetLines = ({ request }: Step): readonly string[] =>
    request === undefined || request.targetMs === 0
        ? []
        : [
            `  target ${formatMs(request.targetMs)}, ${remainingText(request.targetLeftMs)} since the first try, slack `
            + `${formatMs(Math.max(0, request.slackMs))}, may be held for ${
                formatMs(request.holdLeftMs)
            }, ${request.ahead} ahead, `
            + `waits for ${formatMs(request.waitMs)} at least`
            + (request.reserveShare > 0 ? `, leaves ${(request.reserveShare * 100).toFixed(0)} % to more urgent ones` : ""),
        ];

const remainingText = (targetLeftMs: number): string =>
    targetLeftMs < 0 ? `passed ${formatMs(-targetLeftMs)} ago` : `${formatMs(targetLeftMs)} left`;

const candidateHeadings = [
    "",
    "upstream",
    "zone",
    "state",
    "in flight",
    "limit",
    "oldest",
    "latency",
    "(age)",
    "reported",
    "(age)",
    "slowness",
    "expected",
    "(times)",
    "failures",
    "sheds",
    "takes",
    "score",
    "left out",
];

const candidateCells = (candidate: Candidate, selected: string): readonly string[] => [
    candidate.id === selected ? paint.green("*") : "",
    candidate.id,
    candidate.availabilityZone,
    candidate.state,
    String(candidate.inFlight),
    String(candidate.limit),
    formatMs(candidate.oldestInFlightMs),
    formatMs(candidate.latencyMs),
    formatMs(candidate.latencyAgeMs),
    formatCount(candidate.reportedInFlight),
    formatMs(candidate.reportAgeMs),
    candidate.slowness.toFixed(1),
    `${candidate.expectedInFlight.toFixed(1)} of ${candidate.bestInFlight}`,
    (candidate.expectedSlowness * candidate.crowding).toFixed(1),
    `${(candidate.failureRate * 100).toFixed(0)} %`,
    `${(candidate.shedRate * 100).toFixed(0)} %`,
    limitText(candidate),
    candidate.score === undefined ? "" : candidate.score.toFixed(2),
    candidate.excluded,
];

/** Formats the rate limit announced by an upstream and the time until the instance's next permit. */
const limitText = ({ takesPerSecond, shareInMs, shareGapMs }: Candidate): string =>
    shareGapMs === 0 ? "" : `${takesPerSecond} a second, ${shareInMs === 0 ? "now" : `in ${formatMs(shareInMs)}`}`;

const attemptLines = (attempts: readonly Attempt[]): readonly string[] =>
    attempts.length === 0 ? [] : [
        "",
        paint.bold("Attempts"),
        indent(table(
            ["upstream", "from", "to", "end", "outcome", "status", "detail"],
            attempts.map(attempt => [
                attempt.upstream,
                formatMs(attempt.startedMs),
                formatMs(attempt.endedMs),
                attempt.end,
                attempt.outcome,
                attempt.status === 0 ? "" : String(attempt.status),
                attempt.via === "" ? attempt.detail : `via ${attempt.via} ${attempt.detail}`.trimEnd(),
            ]),
        )),
    ];

const outcomeLine = (explanation: Explanation): string => {
    if (explanation.outcome === "") {
        return `${paint.bold("Outcome")} still in flight`;
    }
    const response = explanation.status === 0 ? "no answer was sent" : `status ${explanation.status}`;
    const problem = explanation.problem === "" ? "" : `, problem ${explanation.problem}`;
    return `${paint.bold("Outcome")} ${explanation.outcome}, ${response}${problem}, after ${formatMs(explanation.durationMs)}`;
};

const indent = (text: string): string => text.split("\n").map(line => `  ${line.trimEnd()}`).join("\n");
