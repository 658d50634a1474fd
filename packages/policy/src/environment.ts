/**
 * The CEL environments in which policies are checked and run.
 *
 * Checking uses typed objects, so that an unknown field is found before a policy
 * is published. Running uses plain maps, which the library evaluates three
 * times as fast (docs/DESIGN.md gives the figures).
 *
 * @packageDocumentation
 */

import { Environment } from "@marcbachmann/cel-js";

/** Most nodes of a clause's syntax tree; with no loops this bounds its cost. */
export const maximumClauseNodes = 200;

const limits = { maxAstNodes: maximumClauseNodes, maxDepth: 32, maxListElements: 32, maxMapEntries: 0, maxCallArguments: 4 };

const requestFields = {
    kind: "string",
    workspace: "string",
    method: "string",
    path: "string",
    weight: "double",
    repeatable: "bool",
    attempt: "double",
    depth: "double",
    remainingMs: "double",
    heldMs: "double",
    ageMs: "double",
    targetMs: "double",
    targetLeftMs: "double",
    slackMs: "double",
    holdLeftMs: "double",
    ahead: "double",
    waitMs: "double",
    usualMs: "double",
};

const serviceFields = {
    name: "string",
    inFlight: "double",
    queued: "double",
    candidates: "double",
    bestTime: "double",
    room: "double",
    freeShare: "double",
    askable: "double",
    returnInMs: "double",
    turnedAwayMs: "double",
    upstreams: "double",
};

const upstreamFields = {
    id: "string",
    availabilityZone: "string",
    sameZone: "bool",
    state: "string",
    inFlight: "double",
    limit: "double",
    restMs: "double",
    takesPerSecond: "double",
    shareGapMs: "double",
    shareInMs: "double",
    oldestInFlightMs: "double",
    latencyMs: "double",
    latencyAgeMs: "double",
    reportedInFlight: "double",
    reportAgeMs: "double",
    sentSinceReport: "double",
    slowness: "double",
    expectedInFlight: "double",
    expectedSlowness: "double",
    crowding: "double",
    bestInFlight: "double",
    failureRate: "double",
    slots: "double",
};

const withFunctions = (environment: Environment): Environment =>
    environment
        .registerFunction("min(double, double): double", (a: number, b: number) => Math.min(a, b))
        .registerFunction("max(double, double): double", (a: number, b: number) => Math.max(a, b));

const requestOnly = withFunctions(new Environment({ limits }))
    .registerVariable("request", { schema: requestFields })
    .registerVariable("service", { schema: serviceFields });

/** Environment that checks clauses about the request alone. */
export const requestCheckEnvironment = requestOnly;

/** Environment that checks clauses about one candidate. */
export const candidateCheckEnvironment = requestOnly.clone().registerVariable("upstream", { schema: upstreamFields });

/** Environment that runs every clause. */
export const runEnvironment = withFunctions(new Environment({ limits }))
    .registerVariable("request", "map")
    .registerVariable("service", "map")
    .registerVariable("upstream", "map");
