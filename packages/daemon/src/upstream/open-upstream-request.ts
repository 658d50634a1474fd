/**
 * Opens a request to an upstream or another instance over `node:http`.
 *
 * @packageDocumentation
 */

import { type Agent as HttpAgent, type ClientRequest, request as openRequest } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import { framedHeaders } from "./framed-headers.js";
import type { HttpAttemptTarget } from "./http-attempt-target.js";
import type { UpstreamRequest } from "./upstream-transport.js";

/** Maximum size of a response's status line and headers. */
const maximumResponseHeadBytes = 32_768;

/**
 * Opens a request; its body is not sent yet.
 *
 * @param target - Where to connect to.
 * @param agent - Its connections.
 * @param outgoing - The request.
 */
export const openUpstreamRequest = (
    { address, port }: HttpAttemptTarget,
    agent: HttpAgent | HttpsAgent,
    outgoing: UpstreamRequest,
): ClientRequest =>
    openRequest({
        agent,
        protocol: agent instanceof HttpsAgent ? "https:" : "http:",
        host: address,
        port,
        method: outgoing.method,
        path: outgoing.path,
        headers: framedHeaders(outgoing),
        maxHeaderSize: maximumResponseHeadBytes,
        setHost: false,
    });
