/**
 * Buffers an upstream's response until it is complete.
 *
 * @packageDocumentation
 */

import type { FramedHead } from "../upstream/framing.js";

/** A complete response. */
export interface BufferedResponse extends FramedHead {
    readonly body: Buffer;
}

/** Buffers a response up to a maximum size. */
export class ResponseBuffer {
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    /**
     * @param head - Head of the response.
     * @param maximumBytes - Maximum size of the body.
     */
    constructor(readonly head: FramedHead, private readonly maximumBytes: number) {}

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
        return { ...this.head, body: this.body };
    }
}
