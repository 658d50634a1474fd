/**
 * The pauses of reading from one caller's connection.
 *
 * @packageDocumentation
 */

import type { PauseReason, ReadingPause, ReadingPauses } from "./reading-pauses.js";

/** Records since when and why nothing is read from a connection. */
export class ConnectionPauses {
    private readonly open = new Map<PauseReason, ReadingPause>();
    private endedMs = 0;

    /** @param all - The pauses of all connections. */
    constructor(private readonly all: ReadingPauses) {}

    /** Why nothing is read at the moment; `undefined` while the connection is read. */
    get reason(): PauseReason | undefined {
        return this.open.keys().next().value;
    }

    /** Total time for which nothing was read, in milliseconds. */
    get totalMs(): number {
        const [pause] = this.open.values();
        return this.endedMs + (pause === undefined ? 0 : this.all.ageMs(pause));
    }

    begin(reason: PauseReason): void {
        if (!this.open.has(reason)) {
            this.open.set(reason, this.all.begin(reason));
        }
    }

    /** Ends the pauses with certain reasons. */
    end(reasons: readonly PauseReason[]): void {
        reasons.forEach(reason => {
            const pause = this.open.get(reason);
            if (pause !== undefined) {
                this.open.delete(reason);
                this.endedMs += this.all.end(pause);
            }
        });
    }
}

/** Bytes that wait on a connection, by what they are. */
interface HeldBytes {
    readonly bodies: number;
    readonly requests: number;
    readonly responses: number;
}

/** Returns the reason of a pause for lack of memory: what most of the memory is held for. */
export const mainPauseReason = ({ bodies, requests, responses }: HeldBytes): PauseReason => {
    if (bodies >= Math.max(requests, responses)) {
        return "body";
    }
    return requests >= responses ? "open-requests" : "waiting-responses";
};
