/**
 * How callers and modelled upstreams say things.
 */

import type { Configuration, RequestKind } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";
import { readLimit } from "../../src/request/announced-limit.js";
import type { HeaderProtocol, LoadReport, ParsedResponse, ResponseHead } from "../../src/request/header-protocol.js";
import { numberHeader, pathOf, type RequestMetadata } from "../../src/request/request-metadata.js";
import { readBackoff } from "../../src/request/response-notice.js";
import { modelLeavingHeader, modelLimitHeader, modelLoadHeader } from "./model-transport.js";

/** Header with the milliseconds for which a caller will wait. */
export const modelPatienceHeader = "patience-ms";

const readLoad = (text: string | readonly string[] | undefined): LoadReport | undefined => {
    if (typeof text !== "string") {
        return undefined;
    }
    const [running = 0, waiting = 0, slots = 1, slowness = 1] = text.split(",").map(Number);
    return { inFlight: running + waiting, slots, slowness };
};

/** The {@link HeaderProtocol} of the model. */
export const modelDialect: HeaderProtocol = {
    readRequestMetadata: (request: IncomingMessage, _: Configuration, kind: RequestKind): RequestMetadata => {
        const patienceMs = numberHeader(request, modelPatienceHeader);
        return {
            timeoutMs: Math.min(patienceMs ?? kind.timeoutMs, kind.timeoutMs),
            callerTimeoutMs: patienceMs,
            workspace: "",
            depth: 0,
            path: pathOf(request.url ?? "/"),
        };
    },
    attemptHeaders: () => ({}),
    formatRetryAfter: delayMs => String(delayMs / 1000),
    readResponseHead: ({ status, headers }: ResponseHead): ParsedResponse => {
        const shed = status === 503;
        return {
            mismatch: undefined,
            outcome: shed ? "not-run" : "ran",
            shed,
            misdirected: false,
            failed: false,
            retryable: shed,
            forwardable: !shed,
            notice: {
                draining: headers[modelLeavingHeader] !== undefined,
                limit: readLimit(headers[modelLimitHeader]),
                ...readBackoff(status, headers),
            },
            load: readLoad(headers[modelLoadHeader]),
            coldMs: undefined,
        };
    },
};
