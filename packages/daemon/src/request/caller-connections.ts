/**
 * The connections of callers.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import { CallerConnection } from "./caller-connection.js";
import type { ReadingPauses } from "./reading-pauses.js";

/** All connections with requests. */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    /** @param readingPauses - Where pauses of connections are recorded. */
    constructor(private readonly readingPauses: ReadingPauses) {}

    /** Returns the connection of a socket. */
    of(socket: Socket): CallerConnection {
        const connection = this.connections.get(socket) ?? new CallerConnection(socket, this.readingPauses);
        this.connections.set(socket, connection);
        return connection;
    }
}
