/**
 * The daemon's metrics. docs/METRICS.md describes each of them; a test compares
 * the two.
 *
 * @packageDocumentation
 */

import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

const latencyBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** Time between two samples of the event loop's delay: each is a wake-up of the process, which small instances feel. */
const eventLoopPrecisionMs = 500;

/** Every metric of a daemon, in a registry of its own. */
export class Metrics {
    /** The registry that operators scrape. */
    readonly registry = new Registry();

    /** Requests answered, by service, kind and outcome. */
    readonly requests = this.counter("harrierhitch_requests_total", "Requests answered", ["service", "kind", "outcome"]);

    /** Time from arrival to the end of the answer. */
    readonly requestDuration = new Histogram({
        name: "harrierhitch_request_duration_seconds",
        help: "Time from arrival to the end of the answer",
        labelNames: ["service", "kind"],
        buckets: latencyBuckets,
        registers: [this.registry],
    });

    /** Answers that were problems of our own, by kind. */
    readonly problems = this.counter("harrierhitch_problems_total", "Problem answers", ["problem"]);

    /** Attempts at upstreams, by service and end. */
    readonly attempts = this.counter("harrierhitch_attempts_total", "Attempts at upstreams", ["service", "end"]);

    /** Decisions, by service and action. */
    readonly decisions = this.counter("harrierhitch_decisions_total", "Decisions taken", ["service", "action"]);

    /** Calls to the platform, by kind. */
    readonly platformCalls = this.counter("harrierhitch_platform_calls_total", "Calls to the configuration service", ["kind"]);

    /** Changes of upstreams' states. */
    readonly stateChanges = this.counter(
        "harrierhitch_upstream_state_changes_total",
        "Changes of an upstream's believed state",
        ["service", "state"],
    );

    /** Answers in which upstreams said that they leave, asked for a rest, named a limit, or said so in a way that cannot be read. */
    readonly upstreamNotices = this.counter(
        "harrierhitch_upstream_notices_total",
        "Answers in which upstreams leave, ask for a rest, name a limit, or say so in a way that cannot be read",
        ["service", "notice"],
    );

    /** Times that a decision left an upstream out because of the limit that it names. */
    readonly upstreamsRateLimited = this.counter(
        "harrierhitch_upstreams_limited_total",
        "Times that a decision left an upstream out because of the limit that it names",
        ["service"],
    );

    /** Probes of upstreams, by service and result. */
    readonly probes = this.counter("harrierhitch_probes_total", "Probes of upstreams", ["service", "result"]);

    /** Exchanges with other instances that were begun here, by reason. */
    readonly peerExchanges = this.counter(
        "harrierhitch_peer_exchanges_total",
        "Exchanges with other instances begun here",
        ["reason"],
    );

    /** Exchanges that had to wait because the one before over the same link was just now. */
    readonly exchangesLimited = this.counter(
        "harrierhitch_peer_exchanges_limited_total",
        "Exchanges with other instances held back by the limit of a link",
        [],
    );

    /** Exchanges with other instances that failed. */
    readonly peersUnreachable = this.counter(
        "harrierhitch_peers_unreachable_total",
        "Exchanges with other instances that failed",
        [],
    );

    /** Requests that are withheld since this instance started, because upstreams ended under them. */
    readonly requestsQuarantined = this.counter(
        "harrierhitch_requests_withheld_total",
        "Requests found to end upstreams, and withheld since",
        [],
    );

    /** Log lines that were dropped. */
    readonly linesDropped = this.counter("harrierhitch_log_lines_dropped_total", "Log lines dropped to bound the volume", []);

    /** Calls and connections of other instances that were refused. */
    readonly peersRefused = this.counter(
        "harrierhitch_peers_refused_total",
        "Calls and connections of other instances refused",
        [],
    );

    /** Spans that were dropped because the queue was full or the receiver failed. */
    readonly spansDropped = this.counter("harrierhitch_spans_dropped_total", "Spans dropped instead of exported", []);

    /** Generation in force. */
    readonly generation = this.gauge("harrierhitch_configuration_generation", "Generation of the configuration in force");

    /** Members believed alive, this instance included. */
    readonly members = this.gauge("harrierhitch_members_alive", "Members of the fleet believed alive");

    /** Upstreams that are listed apart from the configuration. */
    readonly discoveredUpstreams = this.gauge("harrierhitch_listed_upstreams", "Upstreams listed apart from the configuration");

    /** Availability zones that are out of service. */
    readonly zonesOut = this.gauge("harrierhitch_zones_out_of_service", "Availability zones out of service");

    /** Published entries that could not be read. */
    readonly invalidEntries = this.counter(
        "harrierhitch_listings_invalid_total",
        "Published entries that could not be read, and name no upstream to use",
        [],
    );

    /** Whether this instance reads the platform now. */
    readonly reader = this.gauge("harrierhitch_platform_reader", "Whether this instance reads the platform now");

    /** Age of what is known of the platform; 0 while that is unknown. */
    readonly platformStaleness = this.gauge(
        "harrierhitch_platform_knowledge_age_seconds",
        "Seconds since a moment as of which nothing that the platform told is missing",
    );

    /** Requests in flight. */
    readonly inFlight = this.gauge("harrierhitch_requests_in_flight", "Requests being served");

    /** Records kept for explanations. */
    readonly records = this.gauge("harrierhitch_records", "Decision records kept");

    /** Estimated memory of the records. */
    readonly recordBytes = this.gauge("harrierhitch_record_bytes", "Estimated memory of the decision records");

    /** @param processMetrics - Whether to add the process's own metrics. */
    constructor(processMetrics = true) {
        if (processMetrics) {
            collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopPrecisionMs });
        }
    }

    private counter(name: string, help: string, labelNames: readonly string[]): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private gauge(name: string, help: string): Gauge {
        return new Gauge({ name, help, registers: [this.registry] });
    }
}
