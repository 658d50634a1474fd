/**
 * The state of all services on this instance.
 *
 * @packageDocumentation
 */

import type { Configuration, DiscoveredUpstream, Service } from "@harrierhitch/configuration";
import type { Clock, ServiceName, UpstreamId } from "@harrierhitch/core";
import {
    type ColdAdmission,
    type LimitAdmission,
    RetryBudget,
    type UpstreamEntry,
    type UpstreamEstimate,
    type UpstreamLimits,
    type UpstreamNotices,
    UpstreamTracker,
} from "@harrierhitch/decision";
import { HoldQueue } from "../request/hold-queue.js";
import type { InstanceBudgets } from "./instance-budgets.js";
import { ServiceRuntime } from "./service-runtime.js";
import type { UpstreamTarget } from "./upstream-transport.js";

/** A change of an upstream's believed state. */
export interface StateChange {
    readonly service: ServiceName;
    readonly upstream: UpstreamId;
    /** The start of it that is meant, in milliseconds since the Unix epoch; 0 when it is not known. */
    readonly startedAtMs: number;
    readonly before: UpstreamEstimate;
    readonly after: UpstreamEstimate;
}

/** Attempts beyond the first that a start grants: few, because each of many instances that are restarted together gets them. */
const retriesSavedAtStart = 2;

/** Options of {@link ServiceRegistry}. */
export interface ServiceRegistryOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    readonly onStateChange: (change: StateChange) => void;
    /** Admits requests to cold upstreams. */
    readonly coldAdmission: ColdAdmission;
    /** What upstreams told of themselves; it outlives services. */
    readonly notices: UpstreamNotices;
    /** How much they say that they take; it outlives services, too. */
    readonly limits: UpstreamLimits;
    /** Admits requests to those that do. */
    readonly limitAdmission: LimitAdmission;
    /** Told that an upstream said something that other instances should hear at once. */
    readonly onUrgentNotice: () => void;
}

/** What a registry is brought up to date by. */
export interface RegistryUpdate {
    readonly configuration: Configuration;
    /** Upstreams that are listed apart from the configuration. */
    readonly discovered: readonly DiscoveredUpstream[];
}

/** Keeps a {@link ServiceRuntime} for each configured service. */
export class ServiceRegistry {
    private runtimes = new Map<ServiceName, ServiceRuntime>();

    /** @param options - Clock, place and what to do on changes. */
    constructor(private readonly options: ServiceRegistryOptions) {}

    /** Takes over an accepted configuration or a changed listing; states of what stays are kept. */
    configure({ configuration, discovered: listed }: RegistryUpdate): void {
        const { maximumInstances } = configuration.fleet;
        this.runtimes = new Map([...configuration.services.values()].map(service => {
            const runtime = this.runtimes.get(service.name) ?? this.create(service.name);
            const own = listed.filter(upstream => upstream.service === service.name);
            runtime.tracker.configure(service, maximumInstances, knownUpstreams(service, own));
            const atMs = this.options.clock.nowMs();
            own.filter(upstream => upstream.draining).forEach(({ id }) =>
                runtime.tracker.observe(id, { type: "draining", atMs })
            );
            return [service.name, runtime];
        }));
    }

    /** Sets this instance's shares of the fleet's budgets. */
    applyBudgets({ retryShare, retryBurst: retriesSaved }: InstanceBudgets): void {
        this.runtimes.forEach(({ retryBudget }) => retryBudget.configure(retryShare, retriesSaved));
    }

    /**
     * Takes in that an upstream leaves, whichever service it belongs to, and also while its entry has lapsed.
     *
     * @param upstream - The upstream.
     * @param startedAtMs - The start that leaves, in milliseconds since the Unix epoch; 0 when it is not known.
     * @param atMs - When that was learned, on this instance's clock.
     */
    recordDraining(upstream: UpstreamId, startedAtMs: number, atMs: number): void {
        const owner = this.all().find(({ tracker: beliefs }) => beliefs.find(upstream) !== undefined);
        if (owner === undefined) {
            this.options.notices.recordDraining({ id: upstream, startedAtMs }, 0);
        }
        owner?.tracker.observe(upstream, { type: "draining", atMs }, startedAtMs);
    }

    /** The runtime of a service. */
    get(name: ServiceName): ServiceRuntime | undefined {
        return this.runtimes.get(name);
    }

    /** The runtimes of all services. */
    all(): readonly ServiceRuntime[] {
        return [...this.runtimes.values()];
    }

    private create(name: ServiceName): ServiceRuntime {
        const { clock, onStateChange } = this.options;
        const beliefs = new UpstreamTracker({
            ...this.options,
            onStateChange: ({ id, startedAtMs = 0 }, before, after) =>
                onStateChange({ service: name, upstream: id, startedAtMs, before, after }),
        });
        const retryBudget = new RetryBudget({ ratio: 0, maximumBalance: retriesSavedAtStart });
        return new ServiceRuntime(name, beliefs, new HoldQueue(clock), retryBudget, clock);
    }
}

/** The upstreams of a service: those of the configuration, and those that are listed. */
const knownUpstreams = (service: Service, listed: readonly DiscoveredUpstream[]): readonly UpstreamEntry[] => [
    ...service.upstreams,
    ...listed,
];

/** The upstreams of all services with the limits of their connections. */
export const toTargets = ({ configuration, discovered: listed }: RegistryUpdate): readonly UpstreamTarget[] =>
    [...configuration.services.values()].flatMap(service =>
        knownUpstreams(service, listed.filter(upstream => upstream.service === service.name)).map(upstream => ({
            upstream,
            connections: Math.max(1, Math.floor(service.maximumConnections / configuration.fleet.maximumInstances)),
            connectTimeoutMs: service.connectTimeoutMs,
        }))
    );
