/**
 * The state of all services on this instance.
 *
 * @packageDocumentation
 */

import type { Configuration, InstanceList } from "@harrierhitch/configuration";
import { type Clock, type ServiceName, type UpstreamId, upstreamId } from "@harrierhitch/core";
import { type Belief, type Observation, ServiceBeliefs } from "@harrierhitch/decision";
import { HoldQueue } from "./hold-queue.js";
import { ServiceRuntime } from "./service-runtime.js";
import type { UpstreamTarget } from "./upstream-transport.js";

/** A change of an upstream's believed state. */
export interface StateChange {
    readonly service: ServiceName;
    readonly upstream: UpstreamId;
    readonly before: Belief;
    readonly after: Belief;
}

/** Options of {@link ServiceRegistry}. */
export interface ServiceRegistryOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    readonly onStateChange: (change: StateChange) => void;
}

/** Keeps a {@link ServiceRuntime} for each configured service. */
export class ServiceRegistry {
    private runtimes = new Map<ServiceName, ServiceRuntime>();
    private list: InstanceList | undefined;

    /** @param options - Clock, place and what to do on changes. */
    constructor(private readonly options: ServiceRegistryOptions) {}

    /** Takes over an accepted configuration; states of what stays are kept. */
    configure(configuration: Configuration): void {
        this.runtimes = new Map([...configuration.services.values()].map(service => {
            const runtime = this.runtimes.get(service.name) ?? this.create(service.name);
            runtime.beliefs.configure(service, configuration.fleet.maximumInstances);
            return [service.name, runtime];
        }));
        this.applyList(undefined);
    }

    /** Takes over a newer instance list; an older one is left aside. */
    takeList(list: InstanceList): void {
        if (this.list === undefined || list.revision > this.list.revision) {
            const before = this.list;
            this.list = list;
            this.applyList(before);
        }
    }

    /** Takes in an observation of an upstream, whichever service it belongs to. */
    observe(upstream: UpstreamId, observation: Observation): void {
        this.runtimes.forEach(runtime => runtime.beliefs.observe(upstream, observation));
    }

    /** The runtime of a service. */
    get(name: ServiceName): ServiceRuntime | undefined {
        return this.runtimes.get(name);
    }

    /** The runtimes of all services. */
    all(): readonly ServiceRuntime[] {
        return [...this.runtimes.values()];
    }

    /** The instance list that was taken last. */
    get instances(): InstanceList | undefined {
        return this.list;
    }

    private create(name: ServiceName): ServiceRuntime {
        const { clock, availabilityZone, onStateChange } = this.options;
        const beliefs = new ServiceBeliefs({
            clock,
            availabilityZone,
            onStateChange: (upstream, before, after) => onStateChange({ service: name, upstream, before, after }),
        });
        return new ServiceRuntime(name, beliefs, new HoldQueue(clock));
    }

    /** Only the list's own step from leaving to live says that an upstream came back. */
    private applyList(before: InstanceList | undefined): void {
        const atMs = this.options.clock.nowMs();
        this.list?.instances.forEach((listed, name) => {
            const cameBack = listed.state === "live" && before?.instances.get(name)?.state === "leaving";
            const type = listed.state === "leaving" ? "draining" : cameBack ? "returned" : undefined;
            if (listed.role === "upstream" && type !== undefined) {
                this.observe(upstreamId(name), { type, atMs });
            }
        });
    }
}

/** The upstreams of a configuration with the limits of their connections. */
export const toTargets = (configuration: Configuration): readonly UpstreamTarget[] =>
    [...configuration.services.values()].flatMap(service =>
        service.upstreams.map(upstream => ({
            upstream,
            connections: Math.max(1, Math.floor(service.maximumConnections / configuration.fleet.maximumInstances)),
            connectTimeoutMs: service.connectTimeoutMs,
        }))
    );
