/**
 * A server for RPC over HTTP/1.1, with mutual TLS where files are named.
 *
 * @packageDocumentation
 */

import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { asError } from "@harrierhitch/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer, type Server as TlsServer } from "node:https";
import { listenOn } from "./listen.js";
import { readTlsFiles, type TlsFileNames, watchTlsFiles } from "./tls-files.js";

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
    readonly settings: TlsFileNames & { readonly address: string; readonly port: number; };
    /** Registers the services. */
    readonly routes: (router: ConnectRouter) => void;
    /** Answers what is no RPC. */
    readonly fallback: (request: IncomingMessage, response: ServerResponse) => void;
    /** Told of a connection that was refused, for example for its certificate. */
    readonly onRefused: (reason: string) => void;
}

/** Largest message that is read: a document of a megabyte and what goes with it. */
const maximumMessageBytes = 2 * 1024 * 1024;

/** Serves RPC; with TLS only holders of a certificate of the authority are admitted. */
export class RpcServer {
    private readonly server: Server | TlsServer;
    private readonly endWatch: () => void;

    /** @param options - Address, services and files. */
    constructor(private readonly options: RpcServerOptions) {
        const { settings, routes, fallback } = options;
        const listener = connectNodeAdapter({
            routes,
            readMaxBytes: maximumMessageBytes,
            fallback: (request, response) => fallback(request as IncomingMessage, response as ServerResponse),
        });
        const tls = readTlsFiles(settings);
        if (tls === undefined) {
            this.server = createServer(listener);
            this.endWatch = () => undefined;
            return;
        }
        const server = createTlsServer({ ...tls, requestCert: true, rejectUnauthorized: true }, listener);
        server.on("tlsClientError", error => options.onRefused(error.message));
        this.endWatch = watchTlsFiles(settings, () => this.reload(server));
        this.server = server;
    }

    /** Begins to listen; gives the port. */
    listen(): Promise<number> {
        return listenOn(this.server, this.options.settings);
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.endWatch();
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private reload(server: TlsServer): void {
        try {
            const tls = readTlsFiles(this.options.settings);
            if (tls !== undefined) {
                server.setSecureContext(tls);
            }
        }
        catch (thrown) {
            this.options.onRefused(`new TLS files cannot be used: ${asError(thrown).message}`);
        }
    }
}
