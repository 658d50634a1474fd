/**
 * Connections to one upstream.
 *
 * @packageDocumentation
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Options of {@link UpstreamAgent}. */
export interface UpstreamAgentOptions {
    /** Maximum number of connections. */
    readonly connections: number;
    /** Idle timeout of connections, in milliseconds; the upstream may announce a shorter one. */
    readonly keepAliveMs: number;
}

/** Fraction of the announced idle timeout after which a connection is closed, so that no request races with its close. */
const idleTimeoutFraction = 0.7;

const destroySocket = function(this: Socket): void {
    this.destroy();
};

/** A `node:http` agent that closes idle connections before the upstream does. */
export class UpstreamAgent extends Agent {
    private retired = false;
    /** Idle timeouts derived from the upstream's announcements, by connection. */
    private readonly idleTimeoutsMs = new WeakMap<Socket, number>();

    /** @param limits - Limits of the connections; `Agent` itself has a property named `options`. */
    constructor(private readonly limits: UpstreamAgentOptions) {
        super({ keepAlive: true, maxSockets: limits.connections, scheduling: "lifo", timeout: limits.keepAliveMs });
    }

    /** Records the idle timeout announced in a response's `Keep-Alive` header. */
    recordIdleTimeout(socket: Socket, header: string | undefined): void {
        const seconds = /timeout=(\d+)/.exec(header ?? "")?.[1];
        if (seconds !== undefined) {
            this.idleTimeoutsMs.set(socket, Number(seconds) * 1000 * idleTimeoutFraction);
        }
    }

    /** Stops reusing connections; requests in flight complete. */
    retire(): void {
        this.retired = true;
        this.closeIdle();
    }

    /** Closes one idle connection, if there is any, so that another one may be opened. */
    closeOneIdle(): void {
        Object.values(this.freeSockets).flat()[0]?.destroy();
    }

    /** Closes idle connections. */
    closeIdle(): void {
        Object.values(this.freeSockets).flat().forEach(socket => socket?.destroy());
    }

    /** Called by `node:http` after a response; returns whether to keep the connection. */
    override keepSocketAlive(socket: Socket): boolean {
        if (this.retired || socket.destroyed) {
            return false;
        }
        socket.setKeepAlive(true);
        socket.unref();
        socket.setTimeout(Math.max(1, Math.min(this.limits.keepAliveMs, this.idleTimeoutsMs.get(socket) ?? Infinity)));
        // Data on an idle connection belongs to no request.
        socket.once("data", destroySocket);
        return true;
    }

    /** Called by `node:http` before an idle connection is reused. */
    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.off("data", destroySocket);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}
