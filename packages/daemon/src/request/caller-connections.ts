/**
 * The connections of callers.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";
import { CallerConnection } from "./caller-connection.js";
import { CallerMemory } from "./caller-memory.js";
import type { ReadAheadMemory } from "./read-ahead-memory.js";
import type { ReadingPauses } from "./reading-pauses.js";

/** All connections with requests. */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    private readonly memory = new CallerMemory();

    /**
     * @param pauses - Where pauses of connections are recorded.
     * @param polls - Tells when what has arrived has been read.
     * @param readAhead - Memory for streamed responses that callers have not read; `undefined` for none.
     */
    constructor(
        private readonly pauses: ReadingPauses,
        private readonly polls: PollMonitor,
        readonly readAhead?: ReadAheadMemory,
    ) {}

    /** Returns the connection of a socket. */
    of(socket: Socket): CallerConnection {
        const { memory, pauses, polls } = this;
        const connection = this.connections.get(socket) ?? new CallerConnection({ socket, memory, pauses, polls });
        this.connections.set(socket, connection);
        return connection;
    }
}
