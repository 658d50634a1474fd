/**
 * Buffers an upstream's response until it is complete.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";

/** A complete response. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Whether headers delimit the body; otherwise the connection's end does, and the body may be incomplete. */
    readonly isFramed: boolean;
}

/** Buffers a response up to a maximum size. */
export class ResponseBuffer {
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    /**
     * @param status - Status of the response.
     * @param headers - Headers of the response.
     * @param maximumBytes - Maximum size of the body.
     */
    constructor(
        readonly status: number,
        readonly headers: IncomingHttpHeaders,
        private readonly maximumBytes: number,
    ) {}

    /**
     * Adds a chunk of the body.
     *
     * @returns Whether the body is within the maximum size; the chunk is stored in any case.
     */
    add(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        this.bytes += chunk.length;
        return this.bytes <= this.maximumBytes;
    }

    /** The body so far. */
    get body(): Buffer {
        return Buffer.concat(this.chunks, this.bytes);
    }

    /** Returns the complete response; called when it has ended. */
    toBufferedResponse(): BufferedResponse {
        const { status, headers, body } = this;
        const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
        return { status, headers, body, isFramed };
    }
}
