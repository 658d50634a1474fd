/**
 * Options of a fleet.
 *
 * @packageDocumentation
 */

import type { Clock, InstanceId, RandomSource } from "@harrierhitch/core";
import type { CrashHistory, UpstreamLimits } from "@harrierhitch/decision";
import type { ActiveConfiguration } from "@harrierhitch/published";
import type { FleetTimes } from "@harrierhitch/published";
import type { UpstreamDirectory } from "@harrierhitch/published";
import type { DocumentEditsError } from "./document-edits.js";
import type { DrainMessage } from "./drain-gossip.js";
import type { ExchangeReason } from "./exchange-reason.js";
import type { PeerAddress, PeerClients } from "./peer-clients.js";

export interface FleetOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: InstanceId;
    readonly incarnation: number;
    /** Name of the fleet; instances of other fleets are rejected. */
    readonly fleet: string;
    readonly availabilityZone: string;
    readonly address: string;
    readonly port: number;
    /** Instances that are contacted to discover the others; some may be unreachable, and one may be this instance. */
    readonly seeds: readonly PeerAddress[];
    readonly clients: PeerClients;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: UpstreamDirectory;
    /** Upstreams that crashed while processing requests. */
    readonly crashes: CrashHistory;
    /** Rate limits that upstreams announce. */
    readonly limits: UpstreamLimits;
    readonly times?: Partial<FleetTimes>;
    /** Called with a configuration document from another instance. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Called when a document from another instance cannot be restored. */
    readonly onUnreadableDocument: (source: string, error: DocumentEditsError) => void;
    /** Whether this instance needs published changes and is able to read the platform. */
    readonly mayReadPlatform: () => boolean;
    /** Whether the last call of this instance to the platform did not fail, when it joins. */
    readonly isPlatformReachable: () => boolean;
    /** Called when an update from another instance changed the directory. */
    readonly onDirectory: () => void;
    /** Called when another instance reported a draining upstream. */
    readonly onDrainMessage: (message: DrainMessage) => void;
    /** Called when the number of instances that may be running has changed. */
    readonly onSizeChange: () => void;
    /** Called when a reader or relay did not respond and is replaced. */
    readonly onDistributorLost: (instance: string, error: Error) => void;
    /** Called when this instance starts an exchange. */
    readonly onExchange: (reason: ExchangeReason) => void;
    /** Called when an exchange is delayed by the minimum interval of its link. */
    readonly onLimited: () => void;
    /** Called when an exchange failed. */
    readonly onUnreachable: (peer: PeerAddress, error: Error) => void;
}
