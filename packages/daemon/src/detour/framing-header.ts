/**
 * The framing of an upstream's response, as instances state it to each other.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";
import { type Framing, framings } from "../upstream/framing.js";

/**
 * Request header of an instance that reads the statement, and response header with the statement. With it the response comes in chunks
 * also if the upstream's ends with its connection, so that its loss on the way is noticed.
 */
export const framingHeader = "x-harrierhitch-framing";

/**
 * Returns what delimited the body of the upstream's response.
 *
 * @param headers - Headers of the other instance's response.
 * @param received - What delimits that one. Earlier versions state nothing and send all responses without a length in chunks.
 */
export const readFraming = (headers: IncomingHttpHeaders, received: Framing): Framing => {
    const stated = framings.find(framing => framing === headers[framingHeader]);
    return stated ?? (received === "chunks" ? "close" : received);
};
