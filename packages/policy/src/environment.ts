/**
 * The CEL environments for policies. Checking uses typed objects, in order to detect unknown fields; evaluation uses plain
 * maps, which the library evaluates faster.
 *
 * @packageDocumentation
 */

import { Environment } from "@marcbachmann/cel-js";

/** Maximum number of nodes in a clause's syntax tree; bounds the evaluation cost, as clauses have no loops. */
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
    reserveShare: "double",
    usualMs: "double",
    expectedBytes: "double",
};

const serviceFields = {
    name: "string",
    inFlight: "double",
    queued: "double",
    candidates: "double",
    bestTime: "double",
    room: "double",
    freeShare: "double",
    homeRoom: "double",
    askable: "double",
    returnInMs: "double",
    turnedAwayMs: "double",
    roomInMs: "double",
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
    shedRate: "double",
    slots: "double",
};

const registerFunctions = (environment: Environment): Environment =>
    environment
        .registerFunction("min(double, double): double", (a: number, b: number) => Math.min(a, b))
        .registerFunction("max(double, double): double", (a: number, b: number) => Math.max(a, b));

const baseEnvironment = registerFunctions(new Environment({ limits }))
    .registerVariable("request", { schema: requestFields })
    .registerVariable("service", { schema: serviceFields });

/** Environment for checking the clauses `refuse` and `hold`, which are evaluated once for each decision. */
export const requestCheckEnvironment = baseEnvironment;

/** Environment for checking the clauses `filter` and `rank`, which are evaluated for each candidate. */
export const candidateCheckEnvironment = baseEnvironment.clone().registerVariable("upstream", { schema: upstreamFields });

/** Environment for evaluating all clauses. */
export const runEnvironment = registerFunctions(new Environment({ limits }))
    .registerVariable("request", "map")
    .registerVariable("service", "map")
    .registerVariable("upstream", "map");
