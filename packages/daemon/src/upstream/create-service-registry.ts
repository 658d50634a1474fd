/**
 * Creates the service registry with its admission control across instances.
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

/** The service registry and the rate limits that are shared with other instances. */
export interface RegistryParts {
    readonly services: ServiceRegistry;
    readonly limits: UpstreamLimits;
}

/** Creates the service registry. */
export const createServiceRegistry = (options: CreateServiceRegistryOptions): RegistryParts => {
    const {
        parts: { settings, clock, random },
        instance,
        assignments,
        telemetry,
        onStateChange,
        onUrgentNotice,
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
        shareOf: (upstream, participants) => assignments.limitShareOf(upstream, participants),
    });
    const services = new ServiceRegistry({
        clock,
        availabilityZone: settings.instance.availabilityZone,
        notices: new UpstreamNotices({ clock }),
        limits,
        limitAdmission,
        coldAdmission: new SharedColdAdmission({ clock, participantsOf: upstream => assignments.participantsOf(upstream) }),
        onStateChange,
        onUrgentNotice,
        retryWindowMs: settings.budgets?.retryWindowMs ?? 0,
    });
    return { services, limits };
};
