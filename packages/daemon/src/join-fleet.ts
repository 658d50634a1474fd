/**
 * Making this instance's part in the fleet.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@harrierhitch/core";
import { type AcceptedConfiguration, Fleet, type HeardRumor, type View } from "@harrierhitch/fleet";
import { events } from "./event.js";
import type { InstanceParts } from "./instance.js";

/** What the instance brings in and takes out. */
export interface JoinFleetOptions {
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly accepted: AcceptedConfiguration;
    /** Offers a configuration document of another instance. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Told of a newer instance list. */
    readonly onView: (view: View) => void;
    /** Told of an observation of another instance. */
    readonly onRumor: (rumor: HeardRumor) => void;
}

/** Time for which keys are kept before the first configuration names one. */
const keyTtlWithoutConfigurationMs = 60_000;

/** Makes the fleet's part on one instance. */
export const joinFleet = ({ settings, clock, random, clients, log }: InstanceParts, options: JoinFleetOptions): Fleet => {
    const configuration = () => options.accepted.inForce?.configuration.fleet;
    return new Fleet({
        ...options,
        clock,
        random,
        fleet: settings.peers.fleet,
        availabilityZone: settings.instance.availabilityZone,
        address: settings.peers.address,
        port: settings.peers.port,
        clients,
        keyTtlMs: () => configuration()?.keyTtlMs ?? keyTtlWithoutConfigurationMs,
        trustsColdStart: () => configuration()?.trustColdStart ?? false,
        onConfiguration: (source, text) => options.onConfiguration(`instance ${source}`, text),
        onView: view => {
            options.onView(view);
            log.write(events.viewAdopted, { revision: view.list.revision, instances: view.list.instances.size });
        },
    });
};
