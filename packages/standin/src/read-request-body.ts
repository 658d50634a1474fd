/**
 * Reads the body of a request.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";

/**
 * Reads the body of a request.
 *
 * @param request - The request.
 * @returns The body; incomplete if the client disconnected.
 */
export const readRequestBody = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // The client disconnected; the incomplete body is returned.
    }
    return Buffer.concat(chunks);
};
