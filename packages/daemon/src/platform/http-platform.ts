/**
 * The configuration service over HTTP: conditional reads, and long polls by
 * `Prefer: wait` (RFC 7240).
 *
 * @packageDocumentation
 */

import { maximumDocumentBytes } from "@harrierhitch/configuration";
import { HttpClient, httpGet, type HttpResponse } from "./http-get.js";
import { type Platform, PlatformError, type PlatformOptions, type Publication } from "./platform.js";

/** Time that a watch may take beyond the time asked for. */
const watchGraceMs = 2000;

/** A {@link Platform} that publishes one document. */
export class HttpPlatform implements Platform {
    private readonly getter = new HttpClient({ maximumBytes: maximumDocumentBytes });
    private turn = 0;
    private version = "";
    private revision = 0;

    /** @param options - Addresses and times. */
    constructor(private readonly options: PlatformOptions) {}

    async read(signal: AbortSignal): Promise<Publication> {
        this.options.onCall("read");
        const result = await this.get({}, this.options.readTimeoutMs, signal);
        if (result.status === notModified) {
            throw new PlatformError("the platform answered a plain read with 304");
        }
        return this.toPublication(result);
    }

    async watch(_: number, signal: AbortSignal, waitMs: number): Promise<Publication> {
        this.options.onCall("watch");
        const headers = { "if-none-match": this.version, "prefer": `wait=${Math.ceil(waitMs / 1000)}` };
        const result = await this.get(headers, waitMs + watchGraceMs, signal);
        return result.status === notModified
            ? { revision: this.revision, configuration: undefined, listings: [], zones: [] }
            : this.toPublication(result);
    }

    private async get(headers: Readonly<Record<string, string>>, timeoutMs: number, signal: AbortSignal): Promise<HttpResponse> {
        const { addresses, configurationKey } = this.options;
        const address = addresses[this.turn % addresses.length] ?? "";
        const url = `http://${address}/keys/${encodeURIComponent(configurationKey)}`;
        try {
            const result = await httpGet(this.getter, { url, headers, timeoutMs, signal });
            if (result.status !== 200 && result.status !== notModified) {
                throw new PlatformError(`${url} answered with status ${result.status}`);
            }
            return result;
        }
        catch (thrown) {
            this.turn += 1;
            throw thrown;
        }
    }

    private toPublication({ headers, body }: HttpResponse): Publication {
        const { etag } = headers;
        if (etag === undefined) {
            throw new PlatformError("the platform answered without an ETag");
        }
        this.version = etag;
        this.revision += 1;
        return { revision: this.revision, configuration: body.toString("utf8"), listings: [], zones: [] };
    }
}

const notModified = 304;
