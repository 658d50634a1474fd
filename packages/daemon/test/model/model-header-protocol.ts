/**
 * The header protocol between modelled callers, instances and upstreams.
 */

import type { Configuration, RequestKind } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";
import { readLimit } from "../../src/request/announced-limit.js";
import type { HeaderProtocol, LoadReport, ParsedResponse, ResponseHead } from "../../src/request/header-protocol.js";
import { numberHeader, pathOf, type RequestMetadata } from "../../src/request/request-metadata.js";
import { readBackoff } from "../../src/request/response-notice.js";
import { modelDrainingHeader, modelLimitHeader, modelLoadHeader } from "./model-transport.js";

/** Request header with the caller's timeout, in milliseconds. */
export const modelTimeoutHeader = "timeout-ms";

const parseLoad = (text: string | readonly string[] | undefined): LoadReport | undefined => {
    if (typeof text !== "string") {
        return undefined;
    }
    const [running = 0, queued = 0, slots = 1, slowness = 1] = text.split(",").map(Number);
    return { inFlight: running + queued, slots, slowness };
};

/** The {@link HeaderProtocol} of the model. */
export const modelHeaderProtocol: HeaderProtocol = {
    readRequestMetadata: (request: IncomingMessage, _: Configuration["fleet"], kind: RequestKind): RequestMetadata => {
        const callerTimeoutMs = numberHeader(request, modelTimeoutHeader);
        return {
            timeoutMs: Math.min(callerTimeoutMs ?? kind.timeoutMs, kind.timeoutMs),
            callerTimeoutMs,
            workspace: "",
            depth: 0,
            path: pathOf(request.url ?? "/"),
        };
    },
    attemptHeaders: () => ({}),
    echoedId: () => undefined,
    probeHeaders: () => ({}),
    callerHeaders: () => ({}),
    formatRetryAfter: delayMs => String(delayMs / 1000),
    readResponseHead: ({ status, headers }: ResponseHead): ParsedResponse => {
        const shed = status === 503;
        return {
            attribution: "own",
            echoesId: false,
            mismatch: undefined,
            outcome: shed ? "not-run" : "ran",
            shed,
            misdirected: false,
            confirmed: false,
            failed: false,
            retryable: shed,
            forwardable: !shed,
            notice: {
                draining: headers[modelDrainingHeader] !== undefined,
                limit: readLimit(headers[modelLimitHeader]),
                ...readBackoff(status, headers),
            },
            load: parseLoad(headers[modelLoadHeader]),
            coldMs: undefined,
        };
    },
};
