/**
 * The upstreams of a service as one instance tracks them.
 *
 * @packageDocumentation
 */

import type { Service } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { Admission } from "./admission.js";
import type { Observation } from "./observation.js";
import { appliesTo, isNotice, recordNotice } from "./record-notice.js";
import { selectCandidates } from "./select-candidates.js";
import {
    initialLoadModel,
    residenceMsOf,
    type ResponseSample,
    type ServiceLoadModel,
    updateFromReport,
    updateFromResponse,
} from "./service-load-model.js";
import { serviceShedRate } from "./shed-rate.js";
import { trackUpstream } from "./track-upstream.js";
import {
    type InFlightRequest,
    lastReportOf,
    mayEject,
    toFacts,
    type TrackedUpstream,
    type UpstreamEntry,
} from "./tracked-upstream.js";
import type { UpstreamWait } from "./upstream-backoff.js";
import { applyObservation, atTime, estimateDefaults, type EstimateOptions, type UpstreamEstimate } from "./upstream-estimate.js";
import { type UpstreamTrackerOptions, withDefaults } from "./upstream-tracker-options.js";

/** Tracks the estimates of a service's upstreams and the requests in flight to them. */
export class UpstreamTracker {
    private readonly options: Required<Omit<UpstreamTrackerOptions, "estimate">>;
    private estimateOptions: EstimateOptions;
    private tracked = new Map<UpstreamId, TrackedUpstream>();
    private loadModel: ServiceLoadModel = initialLoadModel;
    private readonly admission: Admission;
    /** The request that explores an upstream beyond its optimal concurrency; one at a time, so as not to overload it. */
    private exploration: InFlightRequest | undefined;

    /** @param options - Clock, location and limits. */
    constructor(options: UpstreamTrackerOptions) {
        this.options = withDefaults(options);
        this.estimateOptions = { ...estimateDefaults, ...options.estimate };
        this.admission = new Admission(this.options);
    }

    /**
     * Applies a new configuration. Estimates of upstreams that stay are retained; a new incarnation starts without any.
     *
     * @param service - The service as configured.
     * @param maximumInstances - Most instances, which share the connections to an upstream.
     * @param upstreams - Its upstreams, if they differ from the configured ones.
     */
    configure(
        service: Pick<Service, "upstreams" | "maximumConnections" | "coldRequestsPerSecond">,
        maximumInstances: number,
        upstreams: readonly UpstreamEntry[] = service.upstreams,
    ): void {
        const maximumLimit = Math.max(1, Math.floor(service.maximumConnections / maximumInstances));
        this.estimateOptions = { ...this.estimateOptions, maximumLimit };
        this.admission.coldRequestsPerSecond = service.coldRequestsPerSecond;
        const { clock, notices } = this.options;
        const options = { estimate: this.estimateOptions, nowMs: clock.nowMs(), isFirst: this.tracked.size === 0, notices };
        this.tracked = new Map(upstreams.map(entry => [entry.id, trackUpstream(entry, this.tracked.get(entry.id), options)]));
    }

    /** Records that a request is sent to an upstream. */
    startRequest(upstream: UpstreamId): InFlightRequest {
        const request: InFlightRequest = { upstream, sentAtMs: this.options.clock.nowMs() };
        const tracked = this.tracked.get(upstream);
        if (tracked !== undefined) {
            this.exploration ??= this.exceedsOptimalConcurrency(tracked) ? request : undefined;
            tracked.inFlightRequests.add(request);
            this.admission.recordSent(tracked, request);
        }
        this.observe(upstream, { type: "started", atMs: request.sentAtMs });
        return request;
    }

    /** Records that a request is no longer in flight. */
    finishRequest(request: InFlightRequest): void {
        this.tracked.get(request.upstream)?.inFlightRequests.delete(request);
        this.exploration = this.exploration === request ? undefined : this.exploration;
    }

    /**
     * Applies an observation. One of an unknown upstream or of another incarnation is ignored.
     *
     * @param upstream - The upstream.
     * @param observation - What was observed.
     * @param startedAtMs - The incarnation, in milliseconds since the Unix epoch; 0 if unknown.
     */
    observe(upstream: UpstreamId, observation: Observation, startedAtMs = 0): void {
        const tracked = this.tracked.get(upstream);
        if (isNotice(observation) && recordNotice(this.options, { id: upstream, startedAtMs }, observation, tracked)) {
            this.options.onUrgentNotice();
        }
        if (tracked === undefined || !appliesTo(this.options, tracked, observation, startedAtMs)) {
            return;
        }
        // The ejection may have ended in the meantime; the observation then applies to the state `suspect`.
        const estimate = atTime(tracked.estimate, this.options.clock.nowMs());
        const canEject = (): boolean => mayEject([...this.tracked.values()], this.options.maximumEjectedShare);
        const next = applyObservation(estimate, observation, this.estimateOptions, canEject);
        const report = lastReportOf(tracked.upstream, next);
        if (report !== undefined && report.atMs !== estimate.reportedAtMs) {
            this.loadModel = updateFromReport(this.loadModel, report, lastReportOf(tracked.upstream, estimate));
        }
        this.replace(tracked, next);
    }

    /** Records the service time of a response, with what was predicted when its request was sent. */
    recordResponse(sample: ResponseSample): void {
        this.loadModel = updateFromResponse(this.loadModel, sample);
    }

    /** Whether a request may explore an upstream beyond its optimal concurrency, to measure the contention there. */
    get mayExplore(): boolean {
        return this.exploration === undefined;
    }

    /**
     * Returns the facts of all upstreams, in the order of the configuration.
     *
     * @param isExploration - Whether to assume no contention where it is unknown.
     */
    facts(isExploration = false): readonly UpstreamFacts[] {
        return this.factsOf([...this.tracked.keys()], isExploration);
    }

    /** Returns the facts of some upstreams, as {@link facts} does for all; unknown ids are omitted. */
    factsOf(ids: readonly UpstreamId[], isExploration = false): readonly UpstreamFacts[] {
        const { shedRate } = this;
        return ids.flatMap(id => this.tracked.get(id) ?? []).map(tracked => {
            this.replace(tracked, atTime(tracked.estimate, this.options.clock.nowMs()));
            return this.toFacts(tracked, isExploration, shedRate);
        });
    }

    /**
     * Selects the upstreams that one decision evaluates: all if there are few, or if few of them are eligible.
     *
     * @param tried - Those that the request has tried.
     * @param draw - Returns random numbers of at least 0 and below 1.
     * @param prefersHome - Whether most of a sample is from the availability zone of this instance.
     */
    selectCandidates(tried: readonly UpstreamId[], draw: () => number, prefersHome = false): readonly UpstreamId[] {
        const nowMs = this.options.clock.nowMs();
        return selectCandidates([...this.tracked.values()], {
            nowMs,
            availabilityZone: this.options.availabilityZone,
            isEligible: tracked => !tried.includes(tracked.upstream.id) && this.admission.isEligible(tracked, nowMs),
            prefersHome,
            draw,
        });
    }

    get upstreams(): readonly UpstreamEntry[] {
        return [...this.tracked.values()].map(tracked => tracked.upstream);
    }

    /** Returns `undefined` if the upstream is not tracked. */
    find(upstream: UpstreamId): UpstreamEntry | undefined {
        return this.tracked.get(upstream)?.upstream;
    }

    /** Whether an incarnation may still receive requests of this instance: it is tracked, not draining and not backing off. */
    acceptsRequests(upstream: UpstreamEntry): boolean {
        return this.admission.accepts(this.tracked.get(upstream.id), upstream);
    }

    /** Whether one more request may go to an incarnation now, with regard to cold start and rate limit. */
    admits(upstream: UpstreamEntry): boolean {
        const tracked = this.tracked.get(upstream.id);
        return this.admission.accepts(tracked, upstream) && this.admission.admits(tracked);
    }

    /** Whether a request that was waiting for its connection may be sent to an incarnation now. */
    maySend(upstream: UpstreamEntry, request: InFlightRequest): boolean {
        const tracked = this.tracked.get(upstream.id);
        return this.admission.accepts(tracked, upstream) && this.admission.maySend(tracked, request);
    }

    /** How long each upstream accepts no requests of this instance, with its state. */
    get upstreamWaits(): readonly UpstreamWait[] {
        return [...this.tracked.values()].map(tracked => this.admission.waitOf(tracked));
    }

    /** This instance's even share of all announced rate limits, in requests per second; `undefined` without any. */
    get permittedPerSecond(): number | undefined {
        return this.admission.permittedPerSecond(this.upstreams);
    }

    /** Returns the estimate of an upstream; `undefined` if the upstream is not tracked. */
    estimateOf(upstream: UpstreamId): UpstreamEstimate | undefined {
        return this.tracked.get(upstream)?.estimate;
    }

    /** Rate at which its upstreams lately shed requests although they reported headroom. */
    get shedRate(): number {
        const histories = [...this.tracked.values()].map(({ estimate }) => estimate.shedHistory);
        return serviceShedRate(histories, this.options.clock.nowMs());
    }

    /** Average time for which a request is in flight, in milliseconds. */
    get residenceMs(): number {
        return residenceMsOf(this.loadModel);
    }

    get inFlight(): number {
        return [...this.tracked.values()].reduce((sum, tracked) => sum + tracked.inFlightRequests.size, 0);
    }

    get size(): number {
        return this.tracked.size;
    }

    private exceedsOptimalConcurrency(tracked: TrackedUpstream): boolean {
        const { expectedInFlight, bestInFlight } = this.toFacts(tracked, false, 0);
        return expectedInFlight + 1 > bestInFlight;
    }

    private toFacts(tracked: TrackedUpstream, isExploration: boolean, serviceShedRate: number): UpstreamFacts {
        return toFacts(tracked, {
            loadModel: this.loadModel,
            nowMs: this.options.clock.nowMs(),
            availabilityZone: this.options.availabilityZone,
            isExploration,
            serviceShedRate,
            ...this.admission.stateOf(tracked),
        });
    }

    private replace(tracked: TrackedUpstream, estimate: UpstreamEstimate): void {
        const previous = tracked.estimate;
        tracked.estimate = estimate;
        if (previous.state !== estimate.state) {
            this.options.onStateChange(tracked.upstream, previous, estimate);
        }
    }
}
