/**
 * Finds requests that cannot be passed on.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { isSupportedTransferCoding } from "../transfer-coding.js";
import type { Problem } from "./problem.js";
import { stoppingRetryAfterMs } from "./request-expiry.js";

/** A problem of a request's head. */
export interface RequestProblem extends Problem {
    /** Whether it is not certain where the request ends or where it leads, so that its connection must not be read further. */
    readonly endsConnection: boolean;
}

const supportedVersions: ReadonlySet<string> = new Set(["1.0", "1.1"]);

export const upgradeProblem: RequestProblem = {
    kind: "upgrade-not-supported",
    detail: "the load balancer passes on plain HTTP requests only",
    outcome: "not-run",
    endsConnection: false,
};

/** Problem of a request behind the last one that a connection takes before a planned stop. */
export const stoppingProblem: RequestProblem = {
    kind: "stopping",
    detail: "the instance stops, and the connection ends after this response",
    outcome: "not-run",
    retryAfterMs: stoppingRetryAfterMs,
    endsConnection: false,
};

/** Returns why a request cannot be passed on; `undefined` if it can. */
export const findRequestProblem = (request: IncomingMessage): RequestProblem | undefined => {
    const detail = malformation(request);
    if (detail !== undefined) {
        return { kind: "bad-request", detail, outcome: "not-run", endsConnection: true };
    }
    return request.headers.upgrade === undefined ? undefined : upgradeProblem;
};

/** Returns what an upstream may read otherwise than this instance. */
const malformation = ({ httpVersion, headers, rawHeaders }: IncomingMessage): string | undefined => {
    const hosts = rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === "host").length;
    const coding = headers["transfer-encoding"];
    if (!supportedVersions.has(httpVersion)) {
        return `the version HTTP/${httpVersion} is not supported`;
    }
    if (hosts > 1 || httpVersion === "1.1" && hosts === 0) {
        return hosts === 0 ? "the header Host is missing" : "there is more than one header Host";
    }
    if (coding !== undefined && httpVersion === "1.0") {
        return "HTTP/1.0 has no transfer codings";
    }
    return isSupportedTransferCoding(coding) ? undefined : `the transfer coding ${coding} is not supported`;
};
