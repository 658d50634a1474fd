/**
 * Which instances read the platform, so that its calls grow more slowly than the fleet.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import { rendezvous } from "./rendezvous.js";

/** Readers of a fleet: the square root of its size, at least two. */
export const readerCount = (members: number): number => Math.max(2, Math.ceil(Math.sqrt(members)));

/**
 * Whether an instance reads the platform. Every instance finds the readers on
 * its own from the members it believes alive; those that cannot reach the
 * platform say so and are passed over. When the believed members differ, a few
 * more instances read for a while, never none: whoever believes itself alone reads.
 *
 * @param self - This instance.
 * @param alive - Members believed alive, this instance included.
 */
export const isReader = (self: Member, alive: readonly Member[]): boolean => {
    const able = alive.filter(member => member.platformReachable || member.instance === self.instance);
    return rendezvous("readers", able, member => member.instance)
        .slice(0, readerCount(alive.length))
        .some(member => member.instance === self.instance);
};
