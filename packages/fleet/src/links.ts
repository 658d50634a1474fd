/**
 * Which few members an instance talks to, and how often.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import type { FleetTimes } from "./fleet-times.js";
import { rendezvous } from "./rendezvous.js";

/** A member that this instance talks to. */
export interface Link {
    readonly member: Member;
    /** Time between two exchanges without news. */
    readonly intervalMs: number;
    /** Longest time for which the member keeps its answer back until there is something new; 0 for none. */
    readonly waitMs: number;
}

/** What links are chosen by. */
export interface LinkOptions {
    readonly self: Member;
    /** The other members that may be talked to. */
    readonly members: readonly Member[];
    /** The readers of this instance's availability zone. */
    readonly readers: readonly Member[];
    readonly times: FleetTimes;
}

/** Links into the own availability zone besides the reader, so that news do not hang on the reader alone. */
const linksInside = 1;

/** Links out of the own availability zone, kept by readers only, because bytes between zones are dear. */
const linksOutside = 2;

/** Members below which everyone talks to everyone: a link less would save nothing worth having. */
const fullMeshSize = 5;

/** Whether a fleet is so small that everyone talks to everyone. */
export const isFullMesh = (others: readonly Member[]): boolean => others.length <= fullMeshSize;

/**
 * Chooses the members that an instance talks to: its reader and one more of its
 * availability zone, and for a reader the other readers and two of other zones. The choice is stable
 * while they live, and differs between instances, so that the links of all join the whole fleet.
 */
export const chooseLinks = ({ self, members, readers, times }: LinkOptions): readonly Link[] => {
    const order = rendezvous(`links ${self.instance}`, members, member => member.instance);
    const isReader = (member: Member): boolean => readers.some(({ instance }) => instance === member.instance);
    const reader = isReader(self) ? undefined : order.find(isReader);
    const others = order.filter(member => member !== reader);
    const toReader = reader === undefined ? [] : [{ member: reader, intervalMs: times.exchangeMs, waitMs: times.askReaderMs }];
    if (isFullMesh(members)) {
        return [...toReader, ...others.map(member => ({ member, intervalMs: times.exchangeMs, waitMs: 0 }))];
    }
    const isInside = (member: Member): boolean => member.availabilityZone === self.availabilityZone;
    const inside = others.filter(isInside).slice(0, linksInside);
    const outside = others.filter(member => !isInside(member)).slice(0, linksOutside);
    const toOthers = reader === undefined ? [...others.filter(isReader), ...inside, ...outside] : inside;
    return [...toReader, ...toOthers.map(member => ({ member, intervalMs: times.quietMs, waitMs: 0 }))];
};
