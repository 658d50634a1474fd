/**
 * What is known of one entry instance.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";

/**
 * The state of a member as one instance believes it.
 *
 * - `alive`: its heartbeat advances.
 * - `suspect`: no later heartbeat has come, directly or through others.
 * - `failed`: none has come for longer still, so nobody else hears it either.
 * - `left`: it announced that it leaves.
 */
export type MemberState = "alive" | "suspect" | "failed" | "left";

/** Whether one piece of news of a member replaces another: a later run first, then leaving, then the later heartbeat. */
export const isNewer = (news: Member, known: Member): boolean => {
    if (news.incarnation !== known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    if (news.leaving !== known.leaving) {
        return news.leaving;
    }
    return news.heartbeat > known.heartbeat;
};
