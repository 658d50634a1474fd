/**
 * What an instance gives to its part in the fleet, and takes from it.
 *
 * @packageDocumentation
 */

import type { FleetOptions } from "@harrierhitch/fleet";
import type { Instance } from "../instance.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";

/** The options of a fleet that an instance itself gives. */
export type InstanceFleetOptions = Pick<
    FleetOptions,
    | "instance"
    | "incarnation"
    | "activeConfiguration"
    | "directory"
    | "crashes"
    | "limits"
    | "onConfiguration"
    | "onDirectory"
    | "onSizeChange"
    | "onDistributorLost"
    | "onDrainMessage"
>;

/**
 * Ties an instance to its part in the fleet.
 *
 * @param instance - The instance.
 * @param log - Takes events.
 */
export const instanceFleetOptions = (instance: Instance, log: EventLog): InstanceFleetOptions => ({
    instance: instance.id,
    incarnation: instance.incarnation,
    activeConfiguration: instance.activeConfiguration,
    directory: instance.directory,
    crashes: instance.crashes.history,
    limits: instance.limits,
    onConfiguration: (source, text) => void instance.applyConfiguration(source, text),
    onDirectory: () => instance.updateServices(),
    onSizeChange: () => instance.updateBudgets(),
    onDistributorLost: (source, error) =>
        log.write(events.sourceLost, { source, ageMs: instance.fleet?.stalenessTracker.confirmedStalenessMs, error }),
    onDrainMessage: rumor => instance.applyDrainMessage(rumor),
});
