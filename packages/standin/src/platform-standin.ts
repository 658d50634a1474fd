/**
 * A stand-in for the platform's configuration service: it serves the files of a
 * directory, each under its name without the ending, with ETags and long polls.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";

/** How the stand-in behaves; each fault can be switched on and off. */
export interface PlatformBehaviour {
    /** Answers every call with this status instead of the value. */
    readonly failStatus?: number;
    /** Answers every read with this text instead of the value. */
    readonly garbage?: string;
    /** Waits this long before each answer. */
    readonly delayMs?: number;
}

/** Time between two looks at a file while a watch waits. */
const pollMs = 20;

/** Serves `read` and `watch`, and counts calls. */
export class PlatformStandin {
    /** How it behaves now. */
    behaviour: PlatformBehaviour = {};
    /** Number of calls so far, a waiting watch as one. */
    calls = 0;
    private readonly published = new Map<string, string>();
    private readonly server: Server;

    /** @param directory - Directory of files; without one, only {@link publish} provides values. */
    constructor(private readonly directory?: string) {
        this.server = createServer((request, response) => void this.answer(request, response));
    }

    /** Publishes a value under a key. */
    publish(key: string, text: string): void {
        this.published.set(key, text);
    }

    /** Begins to listen; gives the port. */
    async listen(port = 0): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening and breaks all connections. */
    async close(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/calls") {
            response.end(JSON.stringify({ calls: this.calls }));
            return;
        }
        this.calls += 1;
        await wait(this.behaviour.delayMs ?? 0);
        const key = decodeURIComponent((request.url ?? "").replace(/^\/keys\//, ""));
        const known = request.headers["if-none-match"];
        const untilMs = Date.now() + 1000 * Number(/wait=(\d+)/.exec(String(request.headers.prefer))?.[1] ?? 0);
        while (known !== undefined && known === this.versionOf(key) && Date.now() < untilMs && !response.closed) {
            await wait(pollMs);
        }
        const { failStatus, garbage } = this.behaviour;
        const text = garbage ?? this.read(key);
        if (failStatus !== undefined || text === undefined) {
            response.writeHead(failStatus ?? 404).end();
        }
        else if (known === this.versionOf(key)) {
            response.writeHead(304, { etag: known }).end();
        }
        else {
            response.writeHead(200, { "etag": this.versionOf(key) ?? "", "content-type": "text/plain" }).end(text);
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

    private versionOf(key: string): string | undefined {
        const text = this.behaviour.garbage ?? this.read(key);
        return text === undefined ? undefined : `"${createHash("sha256").update(text).digest("hex").slice(0, 16)}"`;
    }
}

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
