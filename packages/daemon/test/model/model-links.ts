/**
 * The links of instances, each of which carries one message after another in either direction.
 */

import type { Clock } from "@harrierhitch/core";

/** Times at which a message has passed a link. */
export interface Transfer {
    readonly beginsAtMs: number;
    readonly endsAtMs: number;
}

/** Queues of messages on links. */
export class ModelLinks {
    private readonly sentAtMs = new Map<number, number>();
    private readonly receivedAtMs = new Map<number, number>();

    /**
     * @param clock - The clock.
     * @param bytesPerMs - Bytes per millisecond that a link takes in each direction.
     */
    constructor(private readonly clock: Clock, private readonly bytesPerMs: () => number) {}

    /** Adds a message to those that an instance sends. */
    send(from: number, bytes: number): Transfer {
        return this.add(this.sentAtMs, from, bytes, { beginsAtMs: this.clock.nowMs(), endsAtMs: 0 });
    }

    /** Adds a message to those that an instance receives. */
    receive(to: number, bytes: number, arrival: Transfer): Transfer {
        return this.add(this.receivedAtMs, to, bytes, arrival);
    }

    private add(queue: Map<number, number>, id: number, bytes: number, arrival: Transfer): Transfer {
        const beginsAtMs = Math.max(arrival.beginsAtMs, queue.get(id) ?? 0);
        const endsAtMs = Math.max(arrival.endsAtMs, beginsAtMs + bytes / this.bytesPerMs());
        queue.set(id, endsAtMs);
        return { beginsAtMs, endsAtMs };
    }
}
