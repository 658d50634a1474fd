/**
 * Opening the state of all services, with what bounds requests to upstreams across instances.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@harrierhitch/core";
import { LimitAdmission, SharedColdAdmission, UpstreamLimits, UpstreamNotices } from "@harrierhitch/decision";
import type { ChosenDuties } from "../chosen-duties.js";
import type { InstanceParts } from "../instance-parts.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { ServiceRegistry, type ServiceRegistryOptions } from "./service-registry.js";

/** Options of {@link openRegistry}. */
export interface OpenRegistryOptions extends Pick<ServiceRegistryOptions, "onStateChange" | "onUrgentWord"> {
    readonly parts: InstanceParts;
    readonly instance: InstanceId;
    readonly duties: ChosenDuties;
    readonly telemetry: Telemetry;
}

/** The state of all services, and what it shares with other instances. */
export interface OpenedRegistry {
    readonly services: ServiceRegistry;
    readonly limits: UpstreamLimits;
}

/** Opens it. */
export const openRegistry = (options: OpenRegistryOptions): OpenedRegistry => {
    const { parts: { settings, clock, random }, instance, duties, telemetry, onStateChange, onUrgentWord } = options;
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
        coldAdmission: new SharedColdAdmission({ clock, sharersOf: upstream => duties.sharersOf(upstream) }),
        onStateChange,
        onUrgentWord,
    });
    return { services, limits };
};
