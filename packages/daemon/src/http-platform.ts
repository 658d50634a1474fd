/**
 * The configuration service over HTTP: conditional reads, and long polls by
 * `Prefer: wait` (RFC 7240).
 *
 * @packageDocumentation
 */

import { maximumDocumentBytes } from "@harrierhitch/configuration";
import { asError } from "@harrierhitch/core";
import { Agent, request } from "undici";
import { type Platform, PlatformError, type PlatformValue } from "./platform.js";

/** Options of {@link HttpPlatform}. */
export interface HttpPlatformOptions {
    /** Addresses as `IP:port`, tried in turn. */
    readonly addresses: readonly string[];
    readonly readTimeoutMs: number;
    readonly watchMs: number;
    /** Called once for each call to the service, for counting. */
    readonly onCall?: (kind: "read" | "watch") => void;
}

/** Time that a watch may take beyond the time asked for. */
const watchGraceMs = 2000;

/** A {@link Platform} that is met by HTTP. */
export class HttpPlatform implements Platform {
    private readonly agent = new Agent({ connections: 4 });
    private turn = 0;

    /** @param options - Addresses and times. */
    constructor(private readonly options: HttpPlatformOptions) {}

    async read(key: string, signal: AbortSignal): Promise<PlatformValue> {
        this.options.onCall?.("read");
        const value = await this.get(key, {}, this.options.readTimeoutMs, signal);
        if (value === undefined) {
            throw new PlatformError(`the platform answered a plain read of ${key} with 304`);
        }
        return value;
    }

    watch(key: string, version: string, signal: AbortSignal): Promise<PlatformValue | undefined> {
        this.options.onCall?.("watch");
        const { watchMs } = this.options;
        const headers = { "if-none-match": version, "prefer": `wait=${Math.ceil(watchMs / 1000)}` };
        return this.get(key, headers, watchMs + watchGraceMs, signal);
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async get(
        key: string,
        headers: Readonly<Record<string, string>>,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<PlatformValue | undefined> {
        const { addresses } = this.options;
        const address = addresses[this.turn % addresses.length];
        try {
            return await this.getFrom(`http://${address}/keys/${encodeURIComponent(key)}`, headers, timeoutMs, signal);
        }
        catch (thrown) {
            this.turn += 1;
            const { message } = asError(thrown);
            throw thrown instanceof PlatformError ? thrown : new PlatformError(`${address}: ${message}`, { cause: thrown });
        }
    }

    private async getFrom(
        url: string,
        headers: Readonly<Record<string, string>>,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<PlatformValue | undefined> {
        const response = await request(url, {
            dispatcher: this.agent,
            headers,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]),
        });
        if (response.statusCode === 304) {
            await response.body.dump();
            return undefined;
        }
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new PlatformError(`${url} answered with status ${response.statusCode}`);
        }
        const version = response.headers.etag;
        if (typeof version !== "string") {
            await response.body.dump();
            throw new PlatformError(`${url} answered without an ETag`);
        }
        return { version, text: await readBounded(response.body, url) };
    }
}

const readBounded = async (body: AsyncIterable<Buffer>, url: string): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maximumDocumentBytes) {
            throw new PlatformError(`${url} answered with more than ${maximumDocumentBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};
