/**
 * Scenarios: a request, a service and candidates on which a policy is tried.
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
import { type DecisionInput, drawNumbers, headroomAtBest, isEligible, minExpectedTime } from "@harrierhitch/decision";
import * as z from "zod";

const text = (description: string, defaultValue: string) => textKey({ description, defaultValue });

const number = (description: string, defaultValue: number, unit?: string) =>
    numberKey({ description, defaultValue, minimum: 0, maximum: 1_000_000_000, ...(unit === undefined ? {} : { unit }) });

const signed = (description: string, defaultValue: number, unit?: string) =>
    numberKey({ description, defaultValue, minimum: -1, maximum: 1_000_000_000, ...(unit === undefined ? {} : { unit }) });

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
    request: optionalSection({
        kind: text("Name of the request's kind.", "read"),
        workspace: text("Name of the caller's workspace.", "hall-a"),
        method: text("HTTP method.", "GET"),
        path: text("Path without the query.", "/"),
        weight: number("Weight of the kind.", 1),
        repeatable: booleanKey({ description: "Whether it may run more than once.", defaultValue: true }),
        attempt: number("Number of the attempt.", 1),
        depth: number("Hops before this one.", 0),
        remainingMs: number("Time until the deadline.", 1000, "ms"),
        heldMs: number("Time held back so far.", 0, "ms"),
        ageMs: number("Time since the request arrived.", 0, "ms"),
        usualMs: number("Time that work for this kind usually takes; 0 when unknown.", 0, "ms"),
        targetMs: number("Time within which an answer is worth most; 0 for none.", 0, "ms"),
        targetLeftMs: number("Time left of it since the caller's first try.", 0, "ms"),
        slackMs: number("Time for which it can wait and still be answered in time.", 0, "ms"),
        holdLeftMs: number("Time for which it may still be held back.", 0, "ms"),
        ahead: number("Held requests that go before it.", 0),
        waitMs: number("Time for which it would wait at least for room.", 0, "ms"),
    }),
    service: optionalSection({
        name: text("Name of the service.", "service"),
        inFlight: number("Requests in flight from this instance.", 0),
        queued: number("Requests held back.", 0),
        returnInMs: number("Time until there is room for one more caller that is turned away because of limits.", 0, "ms"),
        turnedAwayMs: signed(
            "Time since a caller was turned away because of limits that could be in time; -1 for none.",
            -1,
            "ms",
        ),
    }),
    upstream: z.record(
        z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"),
        z.strictObject({
            availabilityZone: text("Availability zone.", "hall-a"),
            sameZone: booleanKey({ description: "Whether it is the instance's own.", defaultValue: true }),
            state: choiceKey(["ready", "cold", "suspect", "ejected", "draining"], {
                description: "Believed state.",
                defaultValue: "ready",
            }),
            inFlight: number("Requests in flight from this instance.", 0),
            limit: number("Most requests in flight.", 16),
            restMs: number("Time for which it wants nothing from this instance.", 0, "ms"),
            takesPerSecond: signed("Requests a second that it takes from all instances, by its own word; -1 for no limit.", -1),
            shareGapMs: number("Time between two requests of this instance by its share of that.", 0, "ms"),
            shareInMs: number("Time until this instance may send one more by its share.", 0, "ms"),
            oldestInFlightMs: number("Age of the oldest request in flight.", 0, "ms"),
            latencyMs: number("Decayed latency.", 5, "ms"),
            latencyAgeMs: number("Age of the last answer.", 100, "ms"),
            reportedInFlight: number("Reported requests in flight.", 0),
            reportAgeMs: number("Age of the report.", 100, "ms"),
            sentSinceReport: number("Requests sent since the report.", 0),
            slowness: number("Factor by which work takes longer than usual, as reported.", 1),
            expectedInFlight: number("Requests expected in flight now, of all instances.", 0),
            expectedSlowness: number("Slowness expected now.", 1),
            bestInFlight: number("Requests in flight at which it answers most in a given time.", 3),
            crowding: number("How much longer one more request takes because of those in flight.", 1),
            failureRate: number("Decayed share of failures.", 0),
            slots: number("Slots of the upstream.", 3),
        }),
    ),
});

/**
 * Reads a scenario and makes a decision's input of it.
 *
 * @param file - Name of the file, for findings.
 * @param content - The file's text.
 * @param seed - Seed of the random draws.
 * @throws InvalidDocumentError with all findings.
 */
export const readScenario = (file: string, content: string, seed: number): DecisionInput => {
    const checked = checkDocument(IniDocument.parse(file, content), scenarioSchema);
    if (checked.value === undefined) {
        throw new InvalidDocumentError(checked.findings);
    }
    const { request, service } = checked.value;
    const upstreams = Object.entries(checked.value.upstream).map(([id, facts]) => ({ id, ...facts }));
    return {
        request,
        service: {
            ...service,
            candidates: upstreams.filter(isEligible).length,
            bestTime: minExpectedTime(upstreams, []),
            ...headroomAtBest(upstreams, []),
            askable: upstreams.length,
            upstreams: upstreams.length,
        },
        upstreams,
        tried: [],
        draws: drawNumbers(new SeededRandom(seed)),
        sequence: 1,
    };
};
