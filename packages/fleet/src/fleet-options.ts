/**
 * What a fleet is made of.
 *
 * @packageDocumentation
 */

import type { Clock, InstanceId, RandomSource } from "@harrierhitch/core";
import type { CrashHistory, UpstreamLimits } from "@harrierhitch/decision";
import type { ActiveConfiguration } from "@harrierhitch/published";
import type { FleetTimes } from "@harrierhitch/published";
import type { UpstreamDirectory } from "@harrierhitch/published";
import type { DrainMessage } from "./drain-gossip.js";
import type { ExchangeReason } from "./exchange-reason.js";
import type { PeerAddress, PeerClients } from "./peer-clients.js";

/** Options of a fleet. */
export interface FleetOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: InstanceId;
    readonly incarnation: number;
    /** Name of the fleet; instances of another fleet are refused. */
    readonly fleet: string;
    readonly availabilityZone: string;
    readonly address: string;
    readonly port: number;
    /** Instances that are asked first; they may be gone, and this one may be among them. */
    readonly seeds: readonly PeerAddress[];
    readonly clients: PeerClients;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: UpstreamDirectory;
    /** What is remembered of upstreams that ended under requests. */
    readonly crashes: CrashHistory;
    /** What upstreams say of how much they take. */
    readonly limits: UpstreamLimits;
    readonly times?: Partial<FleetTimes>;
    /** Offers a configuration document that another instance passed on. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Told when the listed upstreams changed by what another instance told. */
    readonly onDirectory: () => void;
    /** Told of an observation of another instance. */
    readonly onDrainMessage: (rumor: DrainMessage) => void;
    /** Told when the number of instances that may be running has changed. */
    readonly onSizeChange: () => void;
    /** Told that a reader or relay did not answer, so that another one is asked. */
    readonly onDistributorLost: (source: string, error: Error) => void;
    /** Told of each exchange that is begun here. */
    readonly onExchange: (reason: ExchangeReason) => void;
    /** Told when an exchange had to wait because the one before it over the same link was just now. */
    readonly onLimited: () => void;
    /** Told of an exchange that failed. */
    readonly onUnreachable: (peer: PeerAddress, error: Error) => void;
}
