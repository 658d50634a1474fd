/**
 * Selection of the members that an instance exchanges state with, and the interval of each link.
 *
 * @packageDocumentation
 */

import { rendezvousOrder } from "@harrierhitch/core";
import { type Member, Role } from "@harrierhitch/protocol";
import { type FleetTimes, quietIntervalMsFor } from "@harrierhitch/published";
import { readersPerRelay } from "./select-distributors.js";

/** A member that this instance exchanges state with. */
export interface Link {
    readonly member: Member;
    /** Interval between two exchanges when nothing changes. */
    readonly intervalMs: number;
    /** Maximum time for which the member may wait for a change before it responds; 0 if it responds at once. */
    readonly longPollMs: number;
    /** The role in which the member is polled. */
    readonly role: Role;
}

/** Options of {@link selectLinks}. */
export interface LinkOptions {
    readonly self: Member;
    readonly localRole: Role;
    /** The other members that may be linked. */
    readonly members: readonly Member[];
    readonly readers: readonly Member[];
    /** The relays of this instance's availability zone. */
    readonly relays: readonly Member[];
    readonly times: FleetTimes;
}

/** Links into the local availability zone besides the distributors, so that gossip doesn't depend on these alone. */
const linksInsideZone = 1;

/** Links of a reader into other availability zones; other instances have none, because traffic between zones is expensive. */
const linksOutsideZone = 2;

/** Number of other members up to which all instances are linked to each other; fewer links would save little there. */
const fullMeshSize = 5;

/** Whether a fleet is so small that all instances are linked to each other. */
export const isFullMesh = (others: readonly Member[]): boolean => others.length <= fullMeshSize;

/**
 * Selects the links of an instance. Readers and relays poll readers, and all other instances poll a relay. In addition, a
 * small fleet is fully linked; in a larger one each instance has a link with a longer interval into its zone, and readers
 * have some into other zones. The selection differs between instances, so that the links connect the fleet, and changes
 * only with the membership and the roles.
 */
export const selectLinks = (options: LinkOptions): readonly Link[] => {
    const { self, localRole, members, times } = options;
    const order = rendezvousOrder(`links ${self.instance}`, members, ({ instance }) => instance);
    const distributors = distributorLinks(options, order);
    const others = order.filter(member => distributors.every(distributor => distributor.member !== member));
    if (isFullMesh(members)) {
        const toOthers = others.map(member => ({
            member,
            intervalMs: times.exchangeIntervalMs,
            longPollMs: 0,
            role: Role.UNSPECIFIED,
        }));
        return [...distributors, ...toOthers];
    }
    const isInZone = (member: Member): boolean => member.availabilityZone === self.availabilityZone;
    const inside = others.filter(isInZone).slice(0, linksInsideZone);
    const outside = localRole === Role.READER ? others.filter(member => !isInZone(member)).slice(0, linksOutsideZone) : [];
    const intervalMs = quietIntervalMsFor(times, members.length + 1);
    return [
        ...distributors,
        ...[...inside, ...outside].map(member => ({ member, intervalMs, longPollMs: 0, role: Role.UNSPECIFIED })),
    ];
};

/** Returns the links to the readers or the relay that this instance polls. */
const distributorLinks = ({ localRole, readers, relays, times }: LinkOptions, order: readonly Member[]): readonly Link[] => {
    const inOrder = (selected: readonly Member[]): readonly Member[] =>
        order.filter(member => selected.some(({ instance }) => instance === member.instance));
    const pollAs = (role: Role) => (member: Member): Link => ({
        member,
        intervalMs: times.exchangeIntervalMs,
        longPollMs: times.longPollMs,
        role,
    });
    const readerLinks = inOrder(readers).slice(0, readersPerRelay).map(pollAs(Role.READER));
    const [relay] = inOrder(relays);
    return localRole === Role.UNSPECIFIED && relay !== undefined ? [pollAs(Role.RELAY)(relay)] : readerLinks;
};
