/**
 * Metrics of the published state and of its distribution.
 *
 * @packageDocumentation
 */

import { Histogram } from "prom-client";
import { MetricsRegistry } from "./metrics-registry.js";

const stalenessBucketsSeconds = [0.25, 0.5, 1, 1.5, 2, 2.5, 3, 5, 10, 30];

/** These come first in the text, since what collects it may keep only the beginning. */
export class StateMetrics extends MetricsRegistry {
    /** Requests that waited for newer published state, by what followed: they were routed (`held`) or rejected. */
    readonly overdueRequests = this.counter(
        "harrierhitch_overdue_requests_total",
        "Requests that waited because the published state may have been older than its bound",
        ["result"],
    );

    /** Requests that were routed although the state may have been older than its bound, by why that was allowed. */
    readonly routedBeyondBound = this.counter(
        "harrierhitch_routed_beyond_bound_total",
        "Requests that were routed although the published state may have been older than its bound",
        ["reason"],
    );

    /** Staleness of the published state by which requests are routed; requests before its first confirmation count as infinite. */
    readonly routedStaleness = new Histogram({
        name: "harrierhitch_routed_staleness_seconds",
        help: "Seconds since a moment as of which nothing published was missing, for each routed request",
        buckets: stalenessBucketsSeconds,
        registers: [this.registry],
    });

    /** Time since the state was last confirmed to be up to date; 0 while unknown. */
    readonly platformStaleness = this.gauge(
        "harrierhitch_platform_knowledge_age_seconds",
        "Seconds since a moment as of which nothing that the platform told is missing",
    );

    /** Generation of the active configuration. */
    readonly generation = this.gauge("harrierhitch_configuration_generation", "Generation of the configuration in force");

    /** Calls to the platform, by kind. */
    readonly platformCalls = this.counter("harrierhitch_platform_calls_total", "Calls to the configuration service", ["kind"]);

    /** Failed exchanges with other instances. */
    readonly peersUnreachable = this.counter(
        "harrierhitch_peers_unreachable_total",
        "Exchanges with other instances that failed",
        [],
    );

    /** Members considered alive, including this instance. */
    readonly members = this.gauge("harrierhitch_members_alive", "Members of the fleet believed alive");

    /** Whether this instance currently reads the platform. */
    readonly reader = this.gauge("harrierhitch_platform_reader", "Whether this instance reads the platform now");
}
