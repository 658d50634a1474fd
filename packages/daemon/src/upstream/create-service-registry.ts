/**
 * Opening the state of all services, with what bounds requests to upstreams across instances.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@harrierhitch/core";
import { LimitAdmission, SharedColdAdmission, UpstreamLimits, UpstreamNotices } from "@harrierhitch/decision";
import type { InstanceAssignments } from "../instance-assignments.js";
import type { InstanceParts } from "../instance-parts.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { ServiceRegistry, type ServiceRegistryOptions } from "./service-registry.js";

/** Options of {@link createServiceRegistry}. */
export interface CreateServiceRegistryOptions extends Pick<ServiceRegistryOptions, "onStateChange" | "onUrgentNotice"> {
    readonly parts: InstanceParts;
    readonly instance: InstanceId;
    readonly assignments: InstanceAssignments;
    readonly telemetry: Telemetry;
}

/** The state of all services, and what it shares with other instances. */
export interface RegistryParts {
    readonly services: ServiceRegistry;
    readonly limits: UpstreamLimits;
}

/** Opens it. */
export const createServiceRegistry = (options: CreateServiceRegistryOptions): RegistryParts => {
    const {
        parts: { settings, clock, random },
        instance,
        assignments: duties,
        telemetry,
        onStateChange,
        onUrgentNotice: onUrgentWord,
    } = options;
    const limits = new UpstreamLimits({
        clock,
        instance,
        onChange: change =>
            telemetry.limitChanged(change, limitAdmission.paceOf({ id: change.upstream, startedAtMs: change.startedAtMs })),
    });
    const limitAdmission = new LimitAdmission({
        clock,
        random,
        limits,
        shareOf: (upstream, wanted) => duties.limitShareOf(upstream, wanted),
    });
    const services = new ServiceRegistry({
        clock,
        availabilityZone: settings.instance.availabilityZone,
        notices: new UpstreamNotices({ clock }),
        limits,
        limitAdmission,
        coldAdmission: new SharedColdAdmission({ clock, participantsOf: upstream => duties.participantsOf(upstream) }),
        onStateChange,
        onUrgentNotice: onUrgentWord,
    });
    return { services, limits };
};
