/**
 * How callers and modelled upstreams say things.
 */

import type { Configuration, Kind } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";
import { readRest } from "../../src/request/answer-notice.js";
import { type Arrival, numberHeader, pathOf } from "../../src/request/arrival.js";
import type { AnswerHead, AnswerReading, Dialect, LoadReport } from "../../src/request/dialect.js";
import { readLimit } from "../../src/request/named-limit.js";
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

/** The {@link Dialect} of the model. */
export const modelDialect: Dialect = {
    readArrival: (request: IncomingMessage, _: Configuration, kind: Kind): Arrival => {
        const patienceMs = numberHeader(request, modelPatienceHeader);
        return {
            timeoutMs: Math.min(patienceMs ?? kind.timeoutMs, kind.timeoutMs),
            patienceMs,
            workspace: "",
            depth: 0,
            path: pathOf(request.url ?? "/"),
        };
    },
    attemptHeaders: () => ({}),
    retryAfter: delayMs => String(delayMs / 1000),
    readAnswer: ({ status, headers }: AnswerHead): AnswerReading => {
        const shed = status === 503;
        return {
            foreign: undefined,
            outcome: shed ? "not-run" : "ran",
            shed,
            misdirected: false,
            failed: false,
            retryable: shed,
            mayPassOn: !shed,
            notice: {
                leaving: headers[modelLeavingHeader] !== undefined,
                limit: readLimit(headers[modelLimitHeader]),
                ...readRest(status, headers),
            },
            load: readLoad(headers[modelLoadHeader]),
            coldMs: undefined,
        };
    },
};
