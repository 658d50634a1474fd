/**
 * What the other instances have been told of the membership.
 *
 * @packageDocumentation
 */

import type { Member, MemberCursor } from "@harrierhitch/protocol";
import type { Members } from "./members.js";

interface SentCursor {
    /** Incarnation of the receiver; its successor has been told nothing. */
    readonly incarnation: bigint;
    readonly cursor: MemberCursor;
}

/** Positions up to which the local membership updates were sent to the running incarnation of each instance. */
export class SentCursors {
    private readonly sent = new Map<string, SentCursor>();

    /** @param members - The members with their incarnations. */
    constructor(private readonly members: Members) {}

    /**
     * Returns the position up to which updates were sent to an instance.
     *
     * @param instance - Its id.
     * @returns The position; `undefined` if nothing was sent to its latest known incarnation.
     */
    get(instance: string): MemberCursor | undefined {
        const sent = this.sent.get(instance);
        return sent?.incarnation === this.members.find(instance)?.incarnation ? sent?.cursor : undefined;
    }

    /**
     * Records that updates were sent.
     *
     * @param receiver - The instance that has responded to them.
     * @param before - Position from which they were sent; `undefined` if all were sent.
     * @param cursor - Position after them.
     */
    record({ instance, incarnation }: Member, before: MemberCursor | undefined, cursor: MemberCursor): void {
        if (before === undefined || this.sent.get(instance)?.incarnation === incarnation) {
            this.sent.set(instance, { incarnation, cursor });
        }
        else {
            this.sent.delete(instance);
        }
    }
}
