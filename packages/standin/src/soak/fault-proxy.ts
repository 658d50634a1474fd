/**
 * A proxy on loopback that delays, breaks and silences connections.
 *
 * @packageDocumentation
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What it does to connections now. */
export interface ProxyFault {
    /** Holds every part back for so long, in milliseconds. */
    readonly delayMs: number;
    /** Takes connections, and passes nothing on to the other side. */
    readonly isDeaf: boolean;
    /** Passes requests on, and no answers back. */
    readonly isMute: boolean;
}

/** Passes everything on as it comes. */
export const noFault: ProxyFault = { delayMs: 0, isDeaf: false, isMute: false };

/** Stands between an instance and an upstream or the platform. */
export class FaultProxy {
    fault = noFault;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    /** @param target - Port behind it. */
    constructor(private readonly target: () => number) {
        this.server = createServer(near => this.accept(near));
    }

    /** Begins to listen; gives the port. */
    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Resets all connections. */
    reset(): void {
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Ends it. */
    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(near: Socket): void {
        const far = connect({ host: "127.0.0.1", port: this.target() });
        this.join(near, far, () => this.fault.isDeaf);
        this.join(far, near, () => this.fault.isMute);
    }

    private join(from: Socket, to: Socket, isCut: () => boolean): void {
        this.sockets.add(from);
        from.on("error", () => to.destroy());
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
        from.on("data", (chunk: Buffer) => {
            if (isCut()) {
                return;
            }
            const { delayMs } = this.fault;
            if (delayMs === 0) {
                to.write(chunk);
            }
            else {
                setTimeout(() => to.destroyed ? undefined : to.write(chunk), delayMs);
            }
        });
        from.on("end", () => to.end());
    }
}
