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
    RetryWindow,
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

/** A change of an upstream's estimated state. */
export interface StateChange {
    readonly service: ServiceName;
    readonly upstream: UpstreamId;
    /** Start time of the incarnation, in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
    readonly before: UpstreamEstimate;
    readonly after: UpstreamEstimate;
}

/** Retries available to a new service; few, since every instance of a restarted fleet gets them. */
const initialRetryBurst = 2;

/** Options of {@link ServiceRegistry}. */
export interface ServiceRegistryOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    readonly onStateChange: (change: StateChange) => void;
    /** Admits requests to cold upstreams. */
    readonly coldAdmission: ColdAdmission;
    /** Notices received from upstreams; they outlive configurations. */
    readonly notices: UpstreamNotices;
    /** Rate limits announced by upstreams; they outlive configurations. */
    readonly limits: UpstreamLimits;
    /** Admits requests to rate-limited upstreams. */
    readonly limitAdmission: LimitAdmission;
    /** Called when an upstream sent a notice that must be gossiped at once. */
    readonly onUrgentNotice: () => void;
    /** Length of the window of retry budgets in milliseconds; 0 for budgets that only accumulate. */
    readonly retryWindowMs: number;
}

/** Input for an update of the registry. */
export interface RegistryUpdate {
    readonly configuration: Configuration;
    /** Discovered upstreams; those in the configuration are not included. */
    readonly discovered: readonly DiscoveredUpstream[];
}

/** Maintains a {@link ServiceRuntime} for each configured service. */
export class ServiceRegistry {
    private runtimes = new Map<ServiceName, ServiceRuntime>();

    /** @param options - Clock, admission control and callbacks. */
    constructor(private readonly options: ServiceRegistryOptions) {}

    /** Applies a configuration and discovered upstreams; services and upstreams that remain keep their state. */
    configure({ configuration, discovered }: RegistryUpdate): void {
        const { maximumInstances } = configuration.fleet;
        this.runtimes = new Map([...configuration.services.values()].map(service => {
            const runtime = this.runtimes.get(service.name) ?? this.create(service.name);
            const ofService = discovered.filter(upstream => upstream.service === service.name);
            runtime.tracker.configure(service, maximumInstances, upstreamsOf(service, ofService));
            const atMs = this.options.clock.nowMs();
            ofService.filter(upstream => upstream.draining).forEach(({ id }) =>
                runtime.tracker.observe(id, { type: "draining", atMs })
            );
            return [service.name, runtime];
        }));
    }

    /** Applies this instance's shares of the fleet's budgets. */
    applyBudgets({ retryShare, retryBurst }: InstanceBudgets): void {
        this.runtimes.forEach(({ retryBudget }) => retryBudget.configure(retryShare, retryBurst));
    }

    /**
     * Records that an upstream is draining, also if it is currently not in the directory.
     *
     * @param upstream - The upstream.
     * @param startedAtMs - Start time of the draining incarnation, in milliseconds since the Unix epoch; 0 if unknown.
     * @param atMs - Time of the observation on this instance's clock.
     */
    recordDraining(upstream: UpstreamId, startedAtMs: number, atMs: number): void {
        const runtime = this.all().find(({ tracker }) => tracker.find(upstream) !== undefined);
        if (runtime === undefined) {
            this.options.notices.recordDraining({ id: upstream, startedAtMs }, 0);
        }
        runtime?.tracker.observe(upstream, { type: "draining", atMs }, startedAtMs);
    }

    /** Returns the runtime of a service. */
    get(name: ServiceName): ServiceRuntime | undefined {
        return this.runtimes.get(name);
    }

    /** The runtimes of all services. */
    all(): readonly ServiceRuntime[] {
        return [...this.runtimes.values()];
    }

    private create(name: ServiceName): ServiceRuntime {
        const { clock, onStateChange, retryWindowMs } = this.options;
        const tracker = new UpstreamTracker({
            ...this.options,
            onStateChange: ({ id, startedAtMs = 0 }, before, after) =>
                onStateChange({ service: name, upstream: id, startedAtMs, before, after }),
        });
        const retryBudget = retryWindowMs > 0
            ? new RetryWindow({ clock, windowMs: retryWindowMs, initialBurst: initialRetryBurst })
            : new RetryBudget({ ratio: 0, maximumBalance: initialRetryBurst });
        return new ServiceRuntime(name, tracker, new HoldQueue(clock), retryBudget, clock);
    }
}

/** Upstreams of a service: configured and discovered. */
const upstreamsOf = (service: Service, discovered: readonly DiscoveredUpstream[]): readonly UpstreamEntry[] => [
    ...service.upstreams,
    ...discovered,
];

/** Returns the upstreams of all services with their connection limits. */
export const toTargets = ({ configuration, discovered }: RegistryUpdate): readonly UpstreamTarget[] =>
    [...configuration.services.values()].flatMap(service =>
        upstreamsOf(service, discovered.filter(upstream => upstream.service === service.name)).map(upstream => ({
            upstream,
            service: service.name,
            connections: Math.max(1, Math.floor(service.maximumConnections / configuration.fleet.maximumInstances)),
            connectTimeoutMs: service.connectTimeoutMs,
        }))
    );
