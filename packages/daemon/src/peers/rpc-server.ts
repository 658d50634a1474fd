/**
 * A server for RPC over HTTP/1.1, with mutual TLS where files are named.
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
    /** Paths below this one are RPC. */
    readonly rpcPrefix: string;
    /** Makes the handler of RPC at the first call, so that a start does not pay for it. */
    readonly openRpc: () => Promise<Listener>;
    /** Answers what is no RPC. */
    readonly fallback: Listener;
    /** Told of a connection that was refused, for example for its certificate. */
    readonly onRefused: (reason: string) => void;
}

/** Serves RPC; with TLS only holders of a certificate of the authority are admitted. */
export class RpcServer {
    private readonly server: Server | TlsServer;
    private readonly endWatch: () => void;
    private rpc: Promise<Listener> | undefined;

    /** @param options - Address, services and files. */
    constructor(private readonly options: RpcServerOptions) {
        const { settings } = options;
        const listener: Listener = (request, response) => this.handle(request, response);
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

    private handle(request: IncomingMessage, response: ServerResponse): void {
        const { rpcPrefix, openRpc, fallback, onRefused } = this.options;
        if (request.url?.startsWith(rpcPrefix) !== true) {
            fallback(request, response);
            return;
        }
        this.rpc ??= openRpc();
        this.rpc.then(
            rpc => rpc(request, response),
            (thrown: unknown) => {
                onRefused(`the service could not be opened: ${asError(thrown).message}`);
                response.writeHead(500).end();
            },
        );
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
