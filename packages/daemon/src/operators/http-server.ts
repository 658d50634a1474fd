/**
 * A plain HTTP server for readiness and metrics.
 *
 * @packageDocumentation
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listenOn } from "../listen.js";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
    readonly settings: { readonly address: string; readonly port: number; };
    readonly handler: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Serves plain HTTP. */
export class HttpServer {
    private readonly server: Server;

    /** @param options - Address and handler. */
    constructor(private readonly options: HttpServerOptions) {
        this.server = createServer(options.handler);
    }

    /** Starts listening and returns the port. */
    listen(): Promise<number> {
        return listenOn(this.server, this.options.settings);
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }
}
