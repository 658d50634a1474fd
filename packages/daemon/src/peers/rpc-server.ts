/**
 * A server for RPC over HTTP/1.1, with mutual TLS if certificates are configured.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer, type Server as TlsServer } from "node:https";
import { listenOn } from "../listen.js";
import { readTlsFiles, type TlsFileNames, watchTlsFiles } from "./tls-files.js";

/** Handles one request. */
export type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** Options of {@link RpcServer}. */
export interface RpcServerOptions {
    readonly settings: TlsFileNames & { readonly address: string; readonly port: number; };
    /** Path prefix of RPC calls. */
    readonly rpcPrefix: string;
    /** Maximum size of a request head, in bytes; Node's default if absent. */
    readonly maximumHeaderBytes?: number;
    /** Creates the RPC listener; called at the first RPC call to keep startup fast. */
    readonly openRpc: () => Promise<Listener>;
    /** Handles all other requests. */
    readonly fallback: Listener;
    /** Called when a connection is refused, for example because of its certificate. */
    readonly onRefused: (reason: string) => void;
}

/** Serves RPC; with TLS, clients must present a certificate of the configured authority. */
export class RpcServer {
    private readonly server: Server | TlsServer;
    private readonly stopWatching: () => void;
    private rpc: Promise<Listener> | undefined;

    /** @param options - Address, services and TLS files. */
    constructor(private readonly options: RpcServerOptions) {
        const { settings, maximumHeaderBytes } = options;
        const limits = maximumHeaderBytes === undefined ? {} : { maxHeaderSize: maximumHeaderBytes };
        const listener: Listener = (request, response) => this.handle(request, response);
        const tls = readTlsFiles(settings);
        if (tls === undefined) {
            this.server = createServer(limits, listener);
            this.stopWatching = () => undefined;
            return;
        }
        const server = createTlsServer({ ...limits, ...tls, requestCert: true, rejectUnauthorized: true }, listener);
        server.on("tlsClientError", error => options.onRefused(error.message));
        this.stopWatching = watchTlsFiles(settings, () => this.reload(server));
        this.server = server;
    }

    /** Starts listening and returns the port. */
    listen(): Promise<number> {
        return listenOn(this.server, this.options.settings);
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.stopWatching();
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        const { rpcPrefix, openRpc, fallback, onRefused } = this.options;
        if (request.url?.startsWith(rpcPrefix) !== true) {
            fallback(request, response);
            return;
        }
        if (request.headers.host === undefined) {
            onRefused("a call without Host");
            response.writeHead(400, { connection: "close" }).end();
            return;
        }
        this.rpc ??= openRpc();
        this.rpc.then(rpc => rpc(request, response)).catch((thrown: unknown) => {
            onRefused(`the RPC service failed: ${asError(thrown).message}`);
            failResponse(response);
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
            this.options.onRefused(`changed TLS files cannot be used: ${asError(thrown).message}`);
        }
    }
}

/** Ends a response with an error, or its connection if it has begun. */
const failResponse = (response: ServerResponse): void => {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    response.writeHead(500).end();
};
