/**
 * Options of the exchange of state between instances.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import type { DistributionRoles } from "./distribution-roles.js";
import type { DrainGossip } from "./drain-gossip.js";
import type { FleetOptions } from "./fleet-options.js";
import type { GossipScope } from "./gossip-scope.js";
import type { Members } from "./members.js";
import type { StalenessTracker } from "./staleness-tracker.js";

/** Options of an exchange; see {@link FleetOptions} for the inherited ones. */
export interface ExchangeOptions extends
    Pick<
        FleetOptions,
        | "clock"
        | "fleet"
        | "directory"
        | "activeConfiguration"
        | "crashes"
        | "limits"
        | "onConfiguration"
        | "onUnreadableDocument"
        | "mayReadPlatform"
        | "onDirectory"
        | "onDrainMessage"
    > {
    /** Staleness of the local state, which is sent to peers and updated from their responses. */
    readonly stalenessTracker: StalenessTracker;
    /** Interval between two confirmations by a reader. */
    readonly confirmMs: number;
    readonly members: Members;
    readonly roles: DistributionRoles;
    readonly drainGossip: DrainGossip;
    /** Called when an exchange brought changes that other peers should receive at once. */
    readonly onUpdate: (scope: GossipScope) => void;
    /** Called with the members that have just announced that they leave. */
    readonly onLeaving: (leaving: readonly Member[]) => void;
}
