/**
 * HTTP GET requests with limits on time and response size.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import { Agent, get, type IncomingHttpHeaders } from "node:http";
import { OversizedPublicationError, PlatformError, UnusablePublicationError } from "./platform.js";

/** Options of {@link HttpClient}. */
export interface HttpClientOptions {
    /** Maximum response body size, in bytes. */
    readonly maximumBytes: number;
}

/** Connections to a platform and the limits of its responses. */
export class HttpClient {
    /** Agent with persistent connections. */
    readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 2 });

    /** @param options - Limits. */
    constructor(readonly options: HttpClientOptions) {}
}

export interface HttpGetRequest {
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Time until the first bytes of the response, in milliseconds; on timeout the connection is closed. */
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
    /** Whether to open a connection that is not kept. */
    readonly isOnNewConnection?: boolean | undefined;
    /** Called when the first bytes of a response arrive. */
    readonly onResponse?: (() => void) | undefined;
}

/** Longest time without further bytes of a response that has begun, in milliseconds. */
const maximumPauseMs = 500;

/** Longest time in which a response that has begun may arrive, in milliseconds; a link of 7 Mbit/s carries 3.5 MB in it. */
const maximumTransferMs = 4000;

/** A complete response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** A kept connection ended before a response, which the server may do at any time: this says nothing about the server. */
class KeptConnectionError extends PlatformError {
    override readonly code = "kept-connection";
}

/**
 * Sends a GET request, again if a kept connection ends before the response.
 *
 * @param client - Connections and limits.
 * @param call - The request.
 * @returns The complete response, whatever its status.
 * @throws {@link PlatformError} if no response begins in time.
 * @throws {@link UnusablePublicationError} if a response that has begun is not complete in time, or too large.
 */
export const httpGet = async (client: HttpClient, call: HttpGetRequest): Promise<HttpResponse> => {
    // Each repetition has used up a kept connection; a new one that fails ends the loop.
    for (;;) {
        try {
            return await getOnce(client, call);
        }
        catch (thrown) {
            if (!(thrown instanceof KeptConnectionError)) {
                throw thrown;
            }
        }
    }
};

/** Calls back after a delay, once what has arrived by then was delivered: a busy event loop runs timers before it polls. */
const afterDelivery = (delayMs: number, action: () => void): { readonly cancel: () => void; } => {
    let isCancelled = false;
    const timer = setTimeout(() => setImmediate(() => isCancelled || action()), delayMs);
    return {
        cancel: () => {
            isCancelled = true;
            clearTimeout(timer);
        },
    };
};

const getOnce = ({ agent, options }: HttpClient, call: HttpGetRequest): Promise<HttpResponse> =>
    new Promise((resolve, reject) => {
        const { url, headers = {}, timeoutMs, signal, onResponse, isOnNewConnection = false } = call;
        let hasResponse = false;
        const fail = (error: Error, type: typeof PlatformError = PlatformError): void => {
            timer.cancel();
            clearTimeout(transferTimer);
            request.destroy();
            reject(new type(`${url}: ${asError(error).message}`, { cause: error }));
        };
        const request = get(url, { agent: isOnNewConnection ? false : agent, headers, signal }, response => {
            hasResponse = true;
            onResponse?.();
            const chunks: Buffer[] = [];
            let bytes = 0;
            const failBody = (error: Error): void => fail(error, UnusablePublicationError);
            const pauseMs = Math.min(timeoutMs, maximumPauseMs);
            const resetTimer = (): void => {
                timer.cancel();
                timer = afterDelivery(pauseMs, () => failBody(new PlatformError(`the response paused for ${pauseMs} ms`)));
            };
            const onTransferTimeout = (): void =>
                failBody(new PlatformError(`the response took more than ${maximumTransferMs} ms`));
            transferTimer = setTimeout(onTransferTimeout, maximumTransferMs);
            resetTimer();
            response.on("data", (chunk: Buffer) => {
                resetTimer();
                bytes += chunk.length;
                chunks.push(chunk);
                if (bytes > options.maximumBytes) {
                    fail(
                        new PlatformError(`the response has more than ${options.maximumBytes} bytes`),
                        OversizedPublicationError,
                    );
                }
            });
            response.on("error", failBody);
            response.on("end", () => {
                timer.cancel();
                clearTimeout(transferTimer);
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) });
            });
        });
        let transferTimer: NodeJS.Timeout | undefined;
        let timer = afterDelivery(timeoutMs, () => fail(new PlatformError(`no response within ${timeoutMs} ms`)));
        request.on("error", error => {
            const isKept = request.reusedSocket && !hasResponse && !signal.aborted;
            fail(error, isKept ? KeptConnectionError : PlatformError);
        });
    });
