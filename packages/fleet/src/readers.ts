/**
 * Which instances read the platform, so that its calls grow more slowly than the fleet.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import { rendezvous } from "./rendezvous.js";

/** Instances of one availability zone that one reader serves: a few requests a second from each are a few percent of a small core. */
const instancesPerReader = 48;

/**
 * The readers of an availability zone. Every instance finds them on its own from
 * the members it believes able. When the believed members differ, a few more
 * instances read for a while, never none: whoever believes itself alone reads.
 * Readers stand in each zone, so that what they tell crosses none.
 *
 * @param zone - The availability zone.
 * @param able - Members that live, answer and reach the platform.
 */
export const readersOf = (zone: string, able: readonly Member[]): readonly Member[] => {
    const inside = able.filter(member => member.availabilityZone === zone);
    const count = Math.ceil(inside.length / instancesPerReader);
    return rendezvous("readers", inside, member => member.instance).slice(0, count);
};
