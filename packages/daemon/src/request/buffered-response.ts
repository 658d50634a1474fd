/**
 * An upstream's answer that is kept back until it is whole.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";

/** A whole answer. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** Whether the upstream told where the body ends; otherwise it ended with its connection, which proves nothing. */
    readonly isFramed: boolean;
}

/** Gathers an answer, as long as it stays small. */
export class ResponseBuffer {
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    /**
     * @param status - Status of the answer.
     * @param headers - Headers of the answer.
     * @param maximumBytes - Largest body that is gathered.
     */
    constructor(
        readonly status: number,
        readonly headers: IncomingHttpHeaders,
        private readonly maximumBytes: number,
    ) {}

    /**
     * Takes a part of the body.
     *
     * @returns Whether the body is still small enough; the part is kept either way.
     */
    add(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        this.bytes += chunk.length;
        return this.bytes <= this.maximumBytes;
    }

    /** The parts so far. */
    get parts(): readonly Buffer[] {
        return this.chunks;
    }

    /** The answer, once it has ended. */
    whole(): BufferedResponse {
        const { status, headers } = this;
        const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
        return { status, headers, body: Buffer.concat(this.chunks, this.bytes), isFramed };
    }
}
