/**
 * Which few members an instance talks to.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import { rendezvous } from "./rendezvous.js";

/** Links into the own availability zone, and links out of it. */
const linksInside = 2;
const linksOutside = 2;

/** Members below which everyone talks to everyone: a link less would save nothing worth having. */
const fullMeshSize = 5;

/**
 * Chooses the members that an instance talks to: a few in its own availability
 * zone and a few in others. The choice is stable while they live, and differs
 * between instances, so that the links of all join the whole fleet.
 *
 * @param self - This instance.
 * @param members - The other members that may be talked to.
 */
export const chooseLinks = (self: Member, members: readonly Member[]): readonly Member[] => {
    if (members.length <= fullMeshSize) {
        return members;
    }
    const order = rendezvous(`links ${self.instance}`, members, member => member.instance);
    const inside = order.filter(member => member.availabilityZone === self.availabilityZone).slice(0, linksInside);
    const outside = order.filter(member => member.availabilityZone !== self.availabilityZone).slice(0, linksOutside);
    const chosen = [...inside, ...outside];
    const filled = order.filter(member => !chosen.includes(member)).slice(0, linksInside + linksOutside - chosen.length);
    return [...chosen, ...filled];
};
