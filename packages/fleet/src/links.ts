/**
 * Which few members an instance talks to, and how often.
 *
 * @packageDocumentation
 */

import { rendezvousOrder } from "@harrierhitch/core";
import { type Member, Role } from "@harrierhitch/protocol";
import { type FleetTimes, quietIntervalMsFor } from "@harrierhitch/published";
import { readersPerRelay } from "./select-distributors.js";

/** A member that this instance talks to. */
export interface Link {
    readonly member: Member;
    /** Time between two exchanges without news. */
    readonly intervalMs: number;
    /** Longest time for which the member keeps its answer back until there is something new; 0 for none. */
    readonly waitMs: number;
    /** What the member is asked as. */
    readonly role: Role;
}

/** What links are chosen by. */
export interface LinkOptions {
    readonly self: Member;
    /** The role of this instance. */
    readonly role: Role;
    /** The other members that may be talked to. */
    readonly members: readonly Member[];
    /** The readers of the fleet. */
    readonly readers: readonly Member[];
    /** The relays of this instance's availability zone. */
    readonly relays: readonly Member[];
    readonly times: FleetTimes;
}

/** Links into the own availability zone besides the source, so that news do not hang on the source alone. */
const linksInside = 1;

/** Links out of the own availability zone, kept by readers only, because bytes between zones are dear. */
const linksOutside = 2;

/** Members below which everyone talks to everyone: a link less would save nothing worth having. */
const fullMeshSize = 5;

/** Whether a fleet is so small that everyone talks to everyone. */
export const isFullMesh = (others: readonly Member[]): boolean => others.length <= fullMeshSize;

/**
 * Chooses the members that an instance talks to. A reader asks the other readers, and two instances of other zones now
 * and then; a relay asks readers, everyone else a relay; all ask one more of their zone now and then. The choice is
 * stable while they live, and differs between instances, so that the links of all join the whole fleet.
 */
export const selectLinks = (options: LinkOptions): readonly Link[] => {
    const { self, role, members, times } = options;
    const order = rendezvousOrder(`links ${self.instance}`, members, ({ instance }) => instance);
    const sources = sourcesOf(options, order);
    const others = order.filter(member => sources.every(source => source.member !== member));
    if (isFullMesh(members)) {
        const toOthers = others.map(member => ({
            member,
            intervalMs: times.exchangeIntervalMs,
            waitMs: 0,
            role: Role.UNSPECIFIED,
        }));
        return [...sources, ...toOthers];
    }
    const isInside = (member: Member): boolean => member.availabilityZone === self.availabilityZone;
    const inside = others.filter(isInside).slice(0, linksInside);
    const outside = role === Role.READER ? others.filter(member => !isInside(member)).slice(0, linksOutside) : [];
    const intervalMs = quietIntervalMsFor(times, members.length + 1);
    return [
        ...sources,
        ...[...inside, ...outside].map(member => ({ member, intervalMs, waitMs: 0, role: Role.UNSPECIFIED })),
    ];
};

/** The links to those that this instance relies on. */
const sourcesOf = ({ role, readers, relays, times }: LinkOptions, order: readonly Member[]): readonly Link[] => {
    const amongOrder = (wanted: readonly Member[]): readonly Member[] =>
        order.filter(member => wanted.some(({ instance }) => instance === member.instance));
    const askAs = (asked: Role) => (member: Member): Link => ({
        member,
        intervalMs: times.exchangeIntervalMs,
        waitMs: times.longPollMs,
        role: asked,
    });
    const readersFirst = amongOrder(readers).slice(0, readersPerRelay).map(askAs(Role.READER));
    const [relay] = amongOrder(relays);
    return role === Role.UNSPECIFIED && relay !== undefined ? [askAs(Role.RELAY)(relay)] : readersFirst;
};
