/**
 * Connects an instance to its fleet membership.
 *
 * @packageDocumentation
 */

import type { FleetOptions } from "@harrierhitch/fleet";
import type { Instance } from "../instance.js";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";

/** The fleet options that come from the instance. */
export type InstanceFleetOptions = Pick<
    FleetOptions,
    | "instance"
    | "incarnation"
    | "activeConfiguration"
    | "directory"
    | "crashes"
    | "limits"
    | "onConfiguration"
    | "onUnreadableDocument"
    | "onDirectory"
    | "onSizeChange"
    | "onDistributorLost"
    | "onDrainMessage"
>;

/**
 * Creates the fleet options that connect an instance to its fleet membership.
 *
 * @param instance - The instance.
 * @param log - Receives events.
 */
export const instanceFleetOptions = (instance: Instance, log: EventLog): InstanceFleetOptions => ({
    instance: instance.id,
    incarnation: instance.incarnation,
    activeConfiguration: instance.activeConfiguration,
    directory: instance.directory,
    crashes: instance.crashes.history,
    limits: instance.limits,
    onConfiguration: (distributor, text) => void instance.applyConfiguration(distributor, text),
    onUnreadableDocument: (source, error) => log.write(events.documentUnreadable, { source, error }),
    onDirectory: () => instance.updateServices(),
    onSizeChange: () => instance.updateBudgets(),
    onDistributorLost: (distributor, error) =>
        log.write(events.distributorLost, {
            source: distributor,
            ageMs: instance.fleet?.stalenessTracker.confirmedStalenessMs,
            error,
        }),
    onDrainMessage: message => instance.applyDrainMessage(message),
});
