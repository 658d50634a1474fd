/**
 * What an answer teaches of its upstream.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { AnswerReading } from "./dialect.js";
import type { RequestServices } from "./request-services.js";
import type { ServiceRuntime } from "./service-runtime.js";

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
    upstream: Upstream,
    reading: AnswerReading,
    startedAtMs: number,
): void => {
    const atMs = clock.nowMs();
    if (reading.foreign !== undefined) {
        return;
    }
    if (reading.leaving || reading.misdirected) {
        beliefs.observe(upstream.id, { type: "draining", atMs });
    }
    if (reading.misdirected) {
        return;
    }
    const load = reading.load === undefined ? {} : { slots: reading.load.slots, slowness: reading.load.slowness };
    if (reading.shed) {
        // Whatever it reports, an upstream that sheds is full: it must not look idle.
        const inFlight = Math.max(reading.load?.inFlight ?? 0, upstream.slots * shedLoadFactor);
        beliefs.observe(upstream.id, { type: "shed", atMs });
        beliefs.observe(upstream.id, { type: "reported", atMs, inFlight, ...load });
        return;
    }
    const latencyMs = atMs - startedAtMs;
    const reportedInFlight = reading.load?.inFlight;
    beliefs.observe(upstream.id, { type: "answered", atMs, latencyMs, failed: reading.failed, reportedInFlight, ...load });
};
