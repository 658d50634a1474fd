/**
 * The connections to one upstream.
 *
 * @packageDocumentation
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Options of {@link UpstreamAgent}. */
export interface UpstreamAgentOptions {
    /** Most connections. */
    readonly connections: number;
    /** Idle time after which a connection is closed, unless the upstream names a shorter one. */
    readonly keepAliveMs: number;
}

/** Share of the idle time named by the upstream after which a connection is no longer used, against crossing its close. */
const keepAliveShare = 0.7;

const endIdle = function(this: Socket): void {
    this.destroy();
};

/** A `node:http` agent that closes an idle connection as soon as it is in doubt. */
export class UpstreamAgent extends Agent {
    private retired = false;
    /** Idle times that the upstream named, by connection. */
    private readonly namedMs = new WeakMap<Socket, number>();

    /** @param settings - Limits. */
    constructor(private readonly settings: UpstreamAgentOptions) {
        super({ keepAlive: true, maxSockets: settings.connections, scheduling: "lifo", timeout: settings.keepAliveMs });
    }

    /** Notes the idle time that an answer names in its header `Keep-Alive`. */
    recordIdleTimeout(socket: Socket, header: string | undefined): void {
        const seconds = /timeout=(\d+)/.exec(header ?? "")?.[1];
        if (seconds !== undefined) {
            this.namedMs.set(socket, Number(seconds) * 1000 * keepAliveShare);
        }
    }

    /** Keeps no connection any longer; requests in flight go on. */
    retire(): void {
        this.retired = true;
        this.closeIdle();
    }

    /** Closes connections that no request uses. */
    closeIdle(): void {
        Object.values(this.freeSockets).flat().forEach(socket => socket?.destroy());
    }

    /** Called by `node:http` when an answer has ended: tells whether the connection is kept. */
    override keepSocketAlive(socket: Socket): boolean {
        if (this.retired || socket.destroyed) {
            return false;
        }
        socket.setKeepAlive(true);
        socket.unref();
        socket.setTimeout(Math.max(1, Math.min(this.settings.keepAliveMs, this.namedMs.get(socket) ?? Infinity)));
        // Bytes that arrive now belong to no request.
        socket.once("data", endIdle);
        return true;
    }

    /** Called by `node:http` before a kept connection is used again. */
    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.off("data", endIdle);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}
