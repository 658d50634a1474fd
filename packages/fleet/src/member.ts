/**
 * The state of one member, and the order of its updates.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";

/**
 * The state of a member as considered by one instance.
 *
 * - `alive`: Its heartbeat advances.
 * - `suspect`: No newer heartbeat arrived for some time, directly or through others.
 * - `failed`: No newer heartbeat arrived for longer, so the member is considered unreachable for all instances.
 * - `left`: It announced that it leaves.
 */
export type MemberState = "alive" | "suspect" | "failed" | "left";

/** Whether an update replaces the current state: a higher incarnation first, then leaving, then a higher heartbeat. */
export const isNewer = (update: Member, current: Member): boolean => {
    if (update.incarnation !== current.incarnation) {
        return update.incarnation > current.incarnation;
    }
    if (update.leaving !== current.leaving) {
        return update.leaving;
    }
    return update.heartbeat > current.heartbeat;
};
