/**
 * Clients of other instances over HTTP/1.1, with mutual TLS where files are named.
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

/** Connections that are kept open to one instance. */
const idleConnections = 2;

/** {@link PeerClients} over connect. */
export class ConnectClients implements PeerClients {
    private readonly clients = new Map<string, Client<typeof PeerService>>();
    private agent: HttpAgent | HttpsAgent;
    private readonly endWatch: () => void;

    /** @param files - TLS files of the side between instances. */
    constructor(private readonly files: TlsFileNames) {
        this.agent = this.openAgent();
        this.endWatch = watchTlsFiles(files, () => this.reload());
    }

    to(peer: PeerAddress): Client<typeof PeerService> {
        const host = peer.address.includes(":") ? `[${peer.address}]` : peer.address;
        const name = `${host}:${peer.port}`;
        const known = this.clients.get(name);
        if (known !== undefined) {
            return known;
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
        this.endWatch();
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
            const old = this.agent;
            this.agent = this.openAgent();
            this.clients.clear();
            old.destroy();
        }
        catch {
            // The server side of the same files tells of files that cannot be used.
        }
    }
}
