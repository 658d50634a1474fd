/**
 * A stand-in for the platform's configuration service: serves the files of a directory, each under its name without the
 * extension, with ETags and long polling.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { join } from "node:path";
import { listenOnLoopback } from "./listen-on-loopback.js";

/** Faults of the stand-in; none are active by default. */
export interface PlatformBehaviour {
    /** Status that is returned instead of the value. */
    readonly failStatus?: number;
    /** Text that is returned instead of the value. */
    readonly garbage?: string;
    /** Delay before each response, in milliseconds. */
    readonly delayMs?: number;
}

/** Time between two reads of a file while a long poll waits, in milliseconds. */
const filePollMs = 20;

/** Serves reads and long polls of published values, and counts the calls. */
export class PlatformStandin {
    /** The current behaviour. */
    behaviour: PlatformBehaviour = {};
    /** Number of calls so far; a long poll counts once. */
    calls = 0;
    private readonly published = new Map<string, string>();
    private readonly server: Server;

    /** @param directory - Directory of published files; without it, only {@link publish} provides values. */
    constructor(private readonly directory?: string) {
        this.server = createServer((request, response) => void this.handleRequest(request, response));
    }

    /** Publishes a value under a key. */
    publish(key: string, text: string): void {
        this.published.set(key, text);
    }

    /**
     * Starts listening.
     *
     * @returns The port.
     */
    listen(port = 0): Promise<number> {
        return listenOnLoopback(this.server, { port });
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/calls") {
            response.end(JSON.stringify({ calls: this.calls }));
            return;
        }
        this.calls += 1;
        await wait(this.behaviour.delayMs ?? 0);
        const key = decodeURIComponent((request.url ?? "").replace(/^\/keys\//, ""));
        const knownEtag = request.headers["if-none-match"];
        const untilMs = Date.now() + 1000 * Number(/wait=(\d+)/.exec(String(request.headers.prefer))?.[1] ?? 0);
        while (knownEtag !== undefined && knownEtag === this.etagOf(key) && Date.now() < untilMs && !response.closed) {
            await wait(filePollMs);
        }
        const { failStatus, garbage } = this.behaviour;
        const text = garbage ?? this.read(key);
        if (failStatus !== undefined || text === undefined) {
            response.writeHead(failStatus ?? 404).end();
        }
        else if (knownEtag === this.etagOf(key)) {
            response.writeHead(304, { etag: knownEtag }).end();
        }
        else {
            response.writeHead(200, { "etag": this.etagOf(key) ?? "", "content-type": "text/plain" }).end(text);
        }
    }

    private read(key: string): string | undefined {
        if (this.published.has(key) || this.directory === undefined) {
            return this.published.get(key);
        }
        try {
            return readFileSync(join(this.directory, `${key}.ini`), "utf8");
        }
        catch {
            return undefined;
        }
    }

    private etagOf(key: string): string | undefined {
        const text = this.behaviour.garbage ?? this.read(key);
        return text === undefined ? undefined : `"${createHash("sha256").update(text).digest("hex").slice(0, 16)}"`;
    }
}

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
