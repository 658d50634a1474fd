/**
 * Plain GET calls to a platform, whole or not at all.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import { Agent, get, type IncomingHttpHeaders } from "node:http";
import { PlatformError } from "./platform.js";

/** Options of {@link HttpClient}. */
export interface HttpClientOptions {
    /** Largest body that is taken. */
    readonly maximumBytes: number;
}

/** The connections to a platform, with the limit on its answers. */
export class HttpClient {
    /** Connections, kept between calls. */
    readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });

    /** @param options - Limits. */
    constructor(readonly options: HttpClientOptions) {}
}

/** One call. */
export interface HttpGetRequest {
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Longest time for the whole answer; the connection is closed with the call that outlasts it. */
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/**
 * Makes a call.
 *
 * @param getter - Connections and limits.
 * @param call - The call.
 * @returns The whole answer, whatever its status.
 * @throws {@link PlatformError} when there is no whole answer in time.
 */
export const httpGet = ({ agent, options }: HttpClient, call: HttpGetRequest): Promise<HttpResponse> =>
    new Promise((resolve, reject) => {
        const { url, headers = {}, timeoutMs, signal } = call;
        const fail = (error: Error): void => {
            clearTimeout(timer);
            request.destroy();
            reject(new PlatformError(`${url}: ${asError(error).message}`, { cause: error }));
        };
        const request = get(url, { agent, headers, signal }, response => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            response.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                chunks.push(chunk);
                if (bytes > options.maximumBytes) {
                    fail(new PlatformError(`the answer has more than ${options.maximumBytes} bytes`));
                }
            });
            response.on("error", fail);
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) });
            });
        });
        const timer = setTimeout(() => fail(new PlatformError(`no answer within ${timeoutMs} ms`)), timeoutMs);
        request.on("error", fail);
    });
