/**
 * Metrics of attempts at upstreams.
 *
 * @packageDocumentation
 */

import { MemoryMetrics } from "./memory-metrics.js";

/** Counts of attempts, sheds and traffic between zones. */
export class AttemptMetrics extends MemoryMetrics {
    /** Attempts at upstreams, by service and end. */
    readonly attempts = this.counter("harrierhitch_attempts_total", "Attempts at upstreams", ["service", "end"]);

    /** Attempts that were sent, by whether the upstream is in the zone of this instance, and by the reason of the placement. */
    readonly zoneRequests = this.counter(
        "harrierhitch_zone_requests_total",
        "Attempts sent to upstreams in the zone of this instance and in others",
        ["relation", "reason"],
    );

    /** Bytes of the bodies of requests and responses in these attempts. */
    readonly zonePayloadBytes = this.counter(
        "harrierhitch_zone_payload_bytes_total",
        "Bytes of requests and responses of these attempts",
        ["relation", "reason"],
    );

    /** Responses that were not taken for the answers to their requests, by service and attribution. */
    readonly unattributedResponses = this.counter(
        "harrierhitch_responses_not_taken_total",
        "Responses that were not taken for the answers to their requests",
        ["service", "attribution"],
    );

    /** Requests of which a response ended with its upstream's connection, by service and what delimits the response to the caller. */
    readonly unframedResponses = this.counter(
        "harrierhitch_responses_unframed_total",
        "Requests of which a response ended with its upstream's connection",
        ["service", "caller"],
    );

    /** Requests that upstreams shed, by service and whether the upstream reported headroom. */
    readonly sheds = this.counter("harrierhitch_sheds_total", "Requests shed by upstreams", ["service", "headroom"]);
}
