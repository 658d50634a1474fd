/**
 * Writes of a response that waits for the responses to earlier requests on its connection.
 *
 * @packageDocumentation
 */

import type { ServerResponse } from "node:http";
import type { CallerConnection } from "./caller-connection.js";

/**
 * Writes a response now or in turn. Node would buffer the data of a response that is not in turn, and would pause reading from the
 * connection because of it, so that its end could not be noticed.
 */
export class WaitingWrites {
    private readonly writes: (() => void)[] = [];

    /**
     * @param response - The response.
     * @param connection - The caller's connection, whose memory the data counts towards.
     */
    constructor(private readonly response: ServerResponse, private readonly connection: CallerConnection) {}

    /** Whether the responses to all earlier requests on the connection are complete, so that Node has assigned the socket. */
    get isInTurn(): boolean {
        return this.response.socket !== null;
    }

    /**
     * Writes now or in turn.
     *
     * @param bytes - Size of the data.
     * @param write - Writes it.
     */
    write(bytes: number, write: () => void): void {
        if (this.isInTurn || this.response.destroyed) {
            write();
            return;
        }
        if (this.writes.length === 0) {
            this.response.once("socket", () => this.writes.splice(0).forEach(waiting => waiting()));
        }
        this.connection.holdResponse(bytes);
        this.writes.push(() => {
            this.connection.holdResponse(-bytes);
            write();
        });
    }
}
