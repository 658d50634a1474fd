/**
 * Making this instance's part in the fleet.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock, InstanceId, RandomSource } from "@harrierhitch/core";
import {
    type AcceptedConfiguration,
    Fleet,
    type HeardRumor,
    type PeerAddress,
    type PeerClients,
    type UpstreamDirectory,
} from "@harrierhitch/fleet";
import type { Metrics } from "../telemetry/metrics.js";

/** What an instance joins its fleet with. */
export interface JoinFleetOptions {
    readonly settings: NonNullable<Settings["peers"]>;
    readonly availabilityZone: string;
    readonly seeds: readonly PeerAddress[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly clients: PeerClients;
    readonly metrics: Metrics;
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly accepted: AcceptedConfiguration;
    readonly directory: UpstreamDirectory;
    /** Offers a configuration document of another instance. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Told when the listed upstreams changed by what another instance told. */
    readonly onDirectory: () => void;
    /** Told when the number of instances that may be running has changed. */
    readonly onSizeChange: () => void;
    /** Told that the reader of the availability zone did not answer. */
    readonly onReaderLost: (reader: string, error: Error) => void;
    /** Told of an observation of another instance. */
    readonly onRumor: (rumor: HeardRumor) => void;
}

/** Makes the fleet's part on one instance. */
export const joinFleet = ({ settings, metrics, ...options }: JoinFleetOptions): Fleet =>
    new Fleet({
        ...options,
        fleet: settings.fleet,
        address: settings.address,
        port: settings.port,
        onConfiguration: (source, text) => options.onConfiguration(`instance ${source}`, text),
        onUnreachable: () => metrics.peersUnreachable.inc(),
    });
