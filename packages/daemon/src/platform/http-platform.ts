/**
 * The configuration service over HTTP: conditional reads, and long polls with `Prefer: wait` (RFC 7240).
 *
 * @packageDocumentation
 */

import { maximumDocumentBytes } from "@harrierhitch/configuration";
import { HttpClient, httpGet, type HttpResponse } from "./http-get.js";
import { type Platform, PlatformError, type PlatformOptions, type Publication } from "./platform.js";

/** Time that a long poll may take beyond its requested wait, in milliseconds. */
const watchGraceMs = 2000;

/** A {@link Platform} that publishes a single document. */
export class HttpPlatform implements Platform {
    private readonly client = new HttpClient({ maximumBytes: maximumDocumentBytes });
    private addressIndex = 0;
    private version = "";
    private revision = 0;

    /** @param options - Addresses and timeouts. */
    constructor(private readonly options: PlatformOptions) {}

    async read(signal: AbortSignal, _: boolean, onResponse?: () => void): Promise<Publication> {
        this.options.onCall("read");
        const result = await this.get({}, this.options.readTimeoutMs, signal, onResponse);
        if (result.status === notModifiedStatus) {
            throw new PlatformError("the platform responded to an unconditional read with status 304");
        }
        return this.toPublication(result);
    }

    async watch(_: number, signal: AbortSignal, longPollMs: number, onResponse?: () => void): Promise<Publication> {
        this.options.onCall("watch");
        const waitSeconds = Math.round(longPollMs / 1000);
        const headers = { "if-none-match": this.version, "prefer": `wait=${waitSeconds}` };
        const result = await this.get(headers, longPollMs + watchGraceMs, signal, onResponse);
        return result.status === notModifiedStatus
            ? { revision: this.revision, configuration: undefined, listings: [], zones: [], heldMs: waitSeconds * 1000 }
            : this.toPublication(result);
    }

    private async get(
        headers: Readonly<Record<string, string>>,
        timeoutMs: number,
        signal: AbortSignal,
        onResponse: (() => void) | undefined,
    ): Promise<HttpResponse> {
        const { addresses, configurationKey } = this.options;
        const address = addresses[this.addressIndex % addresses.length] ?? "";
        const url = `http://${address}/keys/${encodeURIComponent(configurationKey)}`;
        try {
            const result = await httpGet(this.client, { url, headers, timeoutMs, signal, onResponse });
            if (result.status !== 200 && result.status !== notModifiedStatus) {
                throw new PlatformError(`${url} responded with status ${result.status}`);
            }
            return result;
        }
        catch (thrown) {
            this.addressIndex += 1;
            throw thrown;
        }
    }

    private toPublication({ headers, body }: HttpResponse): Publication {
        const { etag } = headers;
        if (etag === undefined) {
            throw new PlatformError("the platform's response has no ETag");
        }
        this.version = etag;
        this.revision += 1;
        return { revision: this.revision, configuration: body.toString("utf8"), listings: [], zones: [] };
    }
}

const notModifiedStatus = 304;
