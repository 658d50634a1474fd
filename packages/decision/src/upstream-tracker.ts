/**
 * What one instance believes of all upstreams of a service.
 *
 * @packageDocumentation
 */

import type { Service } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { Admission } from "./admission.js";
import type { Observation } from "./observation.js";
import { concerns, isWord, remember } from "./record-notice.js";
import { consider } from "./select-candidates.js";
import {
    initialLoadModel,
    residenceMsOf,
    type ResponseSample,
    type ServiceLoadModel,
    updateFromReport,
    updateFromResponse,
} from "./service-load-model.js";
import { track } from "./track-upstream.js";
import { type InFlightRequest, mayEject, readingOf, toFacts, type Tracked, type UpstreamEntry } from "./tracked-upstream.js";
import type { UpstreamWait } from "./upstream-backoff.js";
import { atTime, defaultEstimateOptions, type EstimateOptions, update, type UpstreamEstimate } from "./upstream-estimate.js";
import { type UpstreamTrackerOptions, withDefaults } from "./upstream-tracker-options.js";

/** Keeps the beliefs about a service's upstreams and their requests in flight. */
export class UpstreamTracker {
    private readonly options: Required<Omit<UpstreamTrackerOptions, "belief">>;
    private belief: EstimateOptions;
    private tracked = new Map<UpstreamId, Tracked>();
    private dynamics: ServiceLoadModel = initialLoadModel;
    private readonly admission: Admission;
    /** The request that finds out how a fuller upstream does; only one at a time does, since many would fill them all. */
    private trial: InFlightRequest | undefined;

    /** @param options - Clock, place and limits. */
    constructor(options: UpstreamTrackerOptions) {
        this.options = withDefaults(options);
        this.belief = { ...defaultEstimateOptions, ...options.belief };
        this.admission = new Admission(this.options);
    }

    /**
     * Takes over the upstreams of a newly accepted configuration. Beliefs about
     * upstreams that stay are kept; one that has started again is believed nothing of.
     *
     * @param service - The service as configured.
     * @param maximumInstances - Most entry instances, which share the connections to an upstream.
     * @param upstreams - Its upstreams, where others than the configured ones are known.
     */
    configure(
        service: Pick<Service, "upstreams" | "maximumConnections" | "coldRequestsPerSecond">,
        maximumInstances: number,
        upstreams: readonly UpstreamEntry[] = service.upstreams,
    ): void {
        const maximumLimit = Math.max(1, Math.floor(service.maximumConnections / maximumInstances));
        this.belief = { ...this.belief, maximumLimit };
        this.admission.coldRequestsPerSecond = service.coldRequestsPerSecond;
        const isFirst = this.tracked.size === 0;
        const nowMs = this.options.clock.nowMs();
        const options = { belief: this.belief, nowMs, isFirst, notices: this.options.notices };
        this.tracked = new Map(upstreams.map(upstream => [upstream.id, track(upstream, this.tracked.get(upstream.id), options)]));
    }

    /** Notes that a request is sent to an upstream. */
    startRequest(upstream: UpstreamId): InFlightRequest {
        const flight: InFlightRequest = { upstream, sentAtMs: this.options.clock.nowMs() };
        const tracked = this.tracked.get(upstream);
        if (tracked !== undefined && this.isFullerThanKnown(tracked)) {
            this.trial ??= flight;
        }
        if (tracked !== undefined) {
            tracked.flights.add(flight);
            this.admission.noteSent(tracked, flight);
        }
        this.observe(upstream, { type: "started", atMs: flight.sentAtMs });
        return flight;
    }

    /** Notes that a request is no longer in flight. */
    finishRequest(flight: InFlightRequest): void {
        this.tracked.get(flight.upstream)?.flights.delete(flight);
        this.trial = this.trial === flight ? undefined : this.trial;
    }

    /**
     * Takes in an observation; one about an upstream that is not configured, or about another start of it, is dropped.
     *
     * @param upstream - The upstream.
     * @param observation - What was learned.
     * @param startedAtMs - The start that it was learned of, in milliseconds since the Unix epoch; 0 when it is not known.
     */
    observe(upstream: UpstreamId, observation: Observation, startedAtMs = 0): void {
        const tracked = this.tracked.get(upstream);
        if (isWord(observation) && remember(this.options, { id: upstream, startedAtMs }, observation, tracked)) {
            this.options.onUrgentNotice();
        }
        if (tracked === undefined || !concerns(this.options, tracked, observation, startedAtMs)) {
            return;
        }
        // An ejection may have run out since anyone looked; the observation then belongs to the trial after it.
        const belief = atTime(tracked.belief, this.options.clock.nowMs());
        const next = update(
            belief,
            observation,
            this.belief,
            () => mayEject([...this.tracked.values()], this.options.maximumEjectedShare),
        );
        const report = readingOf(tracked.upstream, next);
        if (report !== undefined && report.atMs !== belief.reportedAtMs) {
            this.dynamics = updateFromReport(this.dynamics, report, readingOf(tracked.upstream, belief));
        }
        this.replace(tracked, next);
    }

    /** Takes in how long the work of an answered request took, against what was expected when it was sent. */
    recordResponse(work: ResponseSample): void {
        this.dynamics = updateFromResponse(this.dynamics, work);
    }

    /** Whether a request may find out how a fuller upstream does. */
    get mayExplore(): boolean {
        return this.trial === undefined;
    }

    /**
     * The facts of all upstreams, in the order of the configuration.
     *
     * @param isTrial - Whether to take fuller upstreams for as good as others where too little is known of them.
     */
    facts(isTrial = false): readonly UpstreamFacts[] {
        return [...this.tracked.values()].map(tracked => this.factsNow(tracked, isTrial));
    }

    /**
     * The facts of some upstreams, as {@link facts} gives those of all; one that is gone is left out.
     *
     * @param ids - The upstreams.
     * @param isTrial - As for {@link facts}.
     */
    factsOf(ids: readonly UpstreamId[], isTrial = false): readonly UpstreamFacts[] {
        return ids.flatMap(id => this.tracked.get(id) ?? []).map(tracked => this.factsNow(tracked, isTrial));
    }

    /**
     * The upstreams that one decision looks at: all where they are few, or few of them may be chosen.
     *
     * @param tried - Those that the request has tried.
     * @param draw - Gives random numbers of at least 0 and below 1.
     */
    selectCandidates(tried: readonly UpstreamId[], draw: () => number): readonly UpstreamId[] {
        const nowMs = this.options.clock.nowMs();
        return consider([...this.tracked.values()], {
            nowMs,
            availabilityZone: this.options.availabilityZone,
            mayBeChosen: tracked => !tried.includes(tracked.upstream.id) && this.admission.mayBeChosen(tracked, nowMs),
            draw,
        });
    }

    /** The upstreams. */
    get upstreams(): readonly UpstreamEntry[] {
        return [...this.tracked.values()].map(tracked => tracked.upstream);
    }

    /** One of the upstreams. */
    find(upstream: UpstreamId): UpstreamEntry | undefined {
        return this.tracked.get(upstream)?.upstream;
    }

    /** Whether a start of an upstream may still get requests of this instance: it is there, stays, and does not rest. */
    acceptsRequests(upstream: UpstreamEntry): boolean {
        return this.admission.takes(this.tracked.get(upstream.id), upstream);
    }

    /** Whether one more request of this instance may go to a start of an upstream now, which may be cold, or name a limit. */
    admits(upstream: UpstreamEntry): boolean {
        const tracked = this.tracked.get(upstream.id);
        return this.admission.takes(tracked, upstream) && this.admission.admits(tracked);
    }

    /** Whether a request that was chosen for a start of an upstream, and waited for its connection, may be sent now. */
    maySend(upstream: UpstreamEntry, flight: InFlightRequest): boolean {
        const tracked = this.tracked.get(upstream.id);
        return this.admission.takes(tracked, upstream) && this.admission.mayBegin(tracked, flight);
    }

    /** For how long each upstream takes nothing from this instance, with its state. */
    get upstreamWaits(): readonly UpstreamWait[] {
        return [...this.tracked.values()].map(tracked => this.admission.waitOf(tracked));
    }

    /** This instance's even part of what all upstreams that name a limit take, in requests a second; `undefined` without any. */
    get permittedPerSecond(): number | undefined {
        return this.admission.limitedPerSecond(this.upstreams);
    }

    /** When an upstream last reported its load; `undefined` if it never did. */
    lastReportAtMs(upstream: UpstreamId): number | undefined {
        return this.tracked.get(upstream)?.belief.reportedAtMs;
    }

    /** Time for which a request stays at an upstream, on average, in milliseconds. */
    get residenceMs(): number {
        return residenceMsOf(this.dynamics);
    }

    /** All requests in flight. */
    get inFlight(): number {
        return [...this.tracked.values()].reduce((sum, tracked) => sum + tracked.flights.size, 0);
    }

    /** Number of upstreams. */
    get size(): number {
        return this.tracked.size;
    }

    private isFullerThanKnown(tracked: Tracked): boolean {
        const { expectedInFlight, bestInFlight } = this.toFacts(tracked, false);
        return expectedInFlight + 1 > bestInFlight;
    }

    private factsNow(tracked: Tracked, isTrial: boolean): UpstreamFacts {
        this.replace(tracked, atTime(tracked.belief, this.options.clock.nowMs()));
        return this.toFacts(tracked, isTrial);
    }

    private toFacts(tracked: Tracked, isTrial: boolean): UpstreamFacts {
        const { clock, availabilityZone } = this.options;
        return toFacts(tracked, {
            dynamics: this.dynamics,
            nowMs: clock.nowMs(),
            availabilityZone,
            isTrial,
            isAdmitted: this.admission.admits(tracked),
            restMs: this.admission.restMs(tracked.upstream),
            pace: this.admission.paceOf(tracked.upstream),
        });
    }

    private replace(tracked: Tracked, belief: UpstreamEstimate): void {
        const before = tracked.belief;
        tracked.belief = belief;
        if (before.state !== belief.state) {
            this.options.onStateChange(tracked.upstream, before, belief);
        }
    }
}
