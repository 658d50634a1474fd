/**
 * Scenarios: the request, service and upstreams that a policy is evaluated with offline.
 *
 * @packageDocumentation
 */

import {
    booleanKey,
    checkDocument,
    choiceKey,
    IniDocument,
    InvalidDocumentError,
    namePattern,
    numberKey,
    optionalSection,
    textKey,
} from "@harrierhitch/configuration";
import { SeededRandom } from "@harrierhitch/core";
import {
    type DecisionInput,
    drawNumbers,
    headroomAtBest,
    isEligible,
    minExpectedTime,
    withReserve,
} from "@harrierhitch/decision";
import * as z from "zod";

const text = (description: string, defaultValue: string) => textKey({ description, defaultValue });

const number = (description: string, defaultValue: number, unit?: string) =>
    numberKey({ description, defaultValue, minimum: 0, maximum: 1_000_000_000, ...(unit === undefined ? {} : { unit }) });

const numberOrMinusOne = (description: string, defaultValue: number, unit?: string) =>
    numberKey({ description, defaultValue, minimum: -1, maximum: 1_000_000_000, ...(unit === undefined ? {} : { unit }) });

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
    request: optionalSection({
        kind: text("Name of the request kind.", "read"),
        workspace: text("Name of the caller's workspace.", "hall-a"),
        method: text("HTTP method.", "GET"),
        path: text("Path without the query.", "/"),
        weight: number("Weight of the kind.", 1),
        repeatable: booleanKey({ description: "Whether it may be executed more than once.", defaultValue: true }),
        attempt: number("Number of the attempt.", 1),
        depth: number("Hops before this one.", 0),
        remainingMs: number("Time until the deadline.", 1000, "ms"),
        heldMs: number("Time in the queue so far.", 0, "ms"),
        ageMs: number("Time since the request arrived.", 0, "ms"),
        usualMs: number("Baseline service time of the kind; 0 if unknown.", 0, "ms"),
        targetMs: number("Target latency; 0 for none.", 0, "ms"),
        targetLeftMs: number("Remaining time to the target, counted from the caller's first try.", 0, "ms"),
        slackMs: number("Time for which it can wait and still meet the target.", 0, "ms"),
        holdLeftMs: number("Time for which it may still wait in the queue.", 0, "ms"),
        ahead: number("Requests ahead of it in the queue.", 0),
        expectedBytes: number("Expected bytes of the request and the response.", 0, "bytes"),
        waitMs: number("Minimum expected time in the queue.", 0, "ms"),
        reserveShare: numberKey({
            description: "Share of the optimal concurrency that it must leave free for more urgent requests.",
            defaultValue: 0,
            minimum: 0,
            maximum: 1,
        }),
    }),
    service: optionalSection({
        name: text("Name of the service.", "service"),
        inFlight: number("Requests in flight from this instance.", 0),
        queued: number("Requests in the queue.", 0),
        returnInMs: number("Time until one more caller rejected due to rate limits can be served.", 0, "ms"),
        turnedAwayMs: numberOrMinusOne(
            "Time since a caller that could have met its target was rejected due to rate limits; -1 for none.",
            -1,
            "ms",
        ),
        roomInMs: numberOrMinusOne(
            "Expected time until there is headroom for one more rejected request; -1 if unknown.",
            -1,
            "ms",
        ),
    }),
    upstream: z.record(
        z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"),
        z.strictObject({
            availabilityZone: text("Availability zone.", "hall-a"),
            sameZone: booleanKey({ description: "Whether it is the availability zone of the instance.", defaultValue: true }),
            state: choiceKey(["ready", "cold", "suspect", "ejected", "draining"], {
                description: "State as seen by the instance.",
                defaultValue: "ready",
            }),
            inFlight: number("Requests in flight from this instance.", 0),
            limit: number("Maximum requests in flight from this instance.", 16),
            restMs: number("Time for which this instance must back off.", 0, "ms"),
            takesPerSecond: numberOrMinusOne("Announced rate limit for all instances in requests per second; -1 for none.", -1),
            shareGapMs: number("Time between two requests by this instance's share of the rate limit.", 0, "ms"),
            shareInMs: number("Time until this instance's share permits another request.", 0, "ms"),
            oldestInFlightMs: number("Age of the oldest request in flight.", 0, "ms"),
            latencyMs: number("Exponentially weighted average latency.", 5, "ms"),
            latencyAgeMs: number("Time since the last response.", 100, "ms"),
            reportedInFlight: number("Reported requests in flight.", 0),
            reportAgeMs: number("Age of the load report.", 100, "ms"),
            sentSinceReport: number("Requests sent since the load report.", 0),
            slowness: number("Reported ratio of the service time to the baseline.", 1),
            expectedInFlight: number("Estimated requests in flight from all instances.", 0),
            expectedSlowness: number("Estimated current ratio of the service time to the baseline.", 1),
            bestInFlight: number("Optimal concurrency: requests in flight at which the throughput is highest.", 3),
            crowding: number("Expected ratio of the service time to the baseline due to contention.", 1),
            failureRate: number("Exponentially weighted share of failed attempts.", 0),
            shedRate: number("Recent share of requests that were shed despite reported headroom.", 0),
            slots: number("Requests that the upstream serves concurrently.", 3),
        }),
    ),
});

/**
 * Parses a scenario and returns it as the input of a decision.
 *
 * @param file - File name for findings.
 * @param content - The text of the file.
 * @param seed - Seed of the random samples.
 * @returns The input of a decision.
 * @throws InvalidDocumentError with all findings if the scenario is invalid.
 */
export const readScenario = (file: string, content: string, seed: number): DecisionInput => {
    const checked = checkDocument(IniDocument.parse(file, content), scenarioSchema);
    if (checked.value === undefined) {
        throw new InvalidDocumentError(checked.findings);
    }
    const { request, service } = checked.value;
    const upstreams = Object.entries(checked.value.upstream).map(([id, facts]) => ({ id, ...facts }));
    const usable = withReserve(upstreams, request.reserveShare);
    return {
        request,
        service: {
            ...service,
            candidates: upstreams.filter(isEligible).length,
            bestTime: minExpectedTime(usable, []),
            ...headroomAtBest(usable, []),
            homeRoom: headroomAtBest(usable.filter(({ sameZone }) => sameZone), []).room,
            askable: upstreams.length,
            upstreams: upstreams.length,
        },
        upstreams,
        tried: [],
        draws: drawNumbers(new SeededRandom(seed)),
        sequence: 1,
    };
};
