/**
 * The operators' side: health, metrics and the operators' service.
 *
 * @packageDocumentation
 */

import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { Settings } from "@harrierhitch/configuration";
import { readFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import type { Registry } from "prom-client";

/** Options of {@link OperatorsServer}. */
export interface OperatorsServerOptions {
    readonly settings: Settings["operators"];
    readonly registry: Registry;
    /** Registers the services. */
    readonly routes: (router: ConnectRouter) => void;
    /** Whether the platform's balancer may send callers here. */
    readonly isReady: () => boolean;
    /** Brings the gauges up to date before they are scraped. */
    readonly refresh: () => void;
}

/** Largest message that is read. */
const maximumMessageBytes = 2 * 1024 * 1024;

/** The HTTP server for operators, for other instances and for the platform's balancer. */
export class OperatorsServer {
    private readonly server: Server;

    /** @param options - Address, services and health. */
    constructor(private readonly options: OperatorsServerOptions) {
        const listener = connectNodeAdapter({
            routes: options.routes,
            readMaxBytes: maximumMessageBytes,
            fallback: (request, response) => void this.plain(request as IncomingMessage, response as ServerResponse),
        });
        this.server = createMutualTlsOrPlain(options.settings, listener);
    }

    /** Begins to listen; gives the port. */
    async listen(): Promise<number> {
        const { address, port } = this.options.settings;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, address, resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private async plain(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (request.url) {
            case "/livez":
                answerText(response, 200, "live\n");
                break;
            case "/readyz":
                answerText(response, this.options.isReady() ? 200 : 503, this.options.isReady() ? "ready\n" : "not ready\n");
                break;
            case "/metrics":
                this.options.refresh();
                answerText(response, 200, await this.options.registry.metrics(), this.options.registry.contentType);
                break;
            default:
                answerText(response, 404, "not found\n");
        }
    }
}

const createMutualTlsOrPlain = (
    settings: Settings["operators"],
    listener: (request: IncomingMessage, response: ServerResponse) => void,
): Server => {
    const { certificateFile, keyFile, authorityFile } = settings;
    if (certificateFile === undefined || keyFile === undefined || authorityFile === undefined) {
        return createServer(listener);
    }
    return createTlsServer({
        cert: readFileSync(certificateFile),
        key: readFileSync(keyFile),
        ca: readFileSync(authorityFile),
        requestCert: true,
        rejectUnauthorized: true,
    }, listener);
};

const answerText = (response: ServerResponse, status: number, text: string, type = "text/plain; charset=utf-8"): void => {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(text) });
    response.end(text);
};
