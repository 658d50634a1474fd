/**
 * Connect clients of other instances over HTTP/1.1, with mutual TLS if certificates are configured.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { PeerAddress, PeerClients } from "@harrierhitch/fleet";
import { PeerService } from "@harrierhitch/protocol";
import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import { readTlsFiles, type TlsFileNames, watchTlsFiles } from "./tls-files.js";

/** Idle connections that are kept open to each instance. */
const idleConnections = 2;

/** {@link PeerClients} that use the Connect protocol. */
export class ConnectClients implements PeerClients {
    private readonly clients = new Map<string, Client<typeof PeerService>>();
    private currentAgent: HttpAgent | HttpsAgent;
    private readonly stopWatching: () => void;

    /** @param files - TLS files of the peers' endpoint. */
    constructor(private readonly files: TlsFileNames) {
        this.currentAgent = this.openAgent();
        this.stopWatching = watchTlsFiles(files, () => this.reload());
    }

    /** Connections to the other instances. */
    get agent(): HttpAgent | HttpsAgent {
        return this.currentAgent;
    }

    to(peer: PeerAddress): Client<typeof PeerService> {
        const host = peer.address.includes(":") ? `[${peer.address}]` : peer.address;
        const name = `${host}:${peer.port}`;
        const existing = this.clients.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const scheme = this.agent instanceof HttpsAgent ? "https" : "http";
        const transport = createConnectTransport({
            baseUrl: `${scheme}://${name}`,
            httpVersion: "1.1",
            useBinaryFormat: true,
            nodeOptions: { agent: this.agent },
        });
        const client = createClient(PeerService, transport);
        this.clients.set(name, client);
        return client;
    }

    close(): void {
        this.stopWatching();
        this.clients.clear();
        this.agent.destroy();
    }

    private openAgent(): HttpAgent | HttpsAgent {
        const tls = readTlsFiles(this.files);
        const options = { keepAlive: true, maxFreeSockets: idleConnections };
        return tls === undefined ? new HttpAgent(options) : new HttpsAgent({ ...options, ...tls });
    }

    private reload(): void {
        try {
            const previous = this.currentAgent;
            this.currentAgent = this.openAgent();
            this.clients.clear();
            previous.destroy();
        }
        catch {
            // The server, which uses the same files, reports invalid ones.
        }
    }
}
