/**
 * Receives the head of a response to a request.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";
import { type ConnectionUse, recordEcho } from "../upstream/connection-use.js";
import { applyResponse } from "./apply-response.js";
import type { AttemptOptions } from "./attempt-options.js";
import type { AttemptRecord } from "./decision-record.js";
import { findUnattributed } from "./find-unattributed.js";
import type { ParsedResponse } from "./header-protocol.js";

/** The head of a response, with the attempt that waits on its connection. */
export interface ReceivedHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** Id of the attempt. */
    readonly attemptId: string;
    /** Record of the attempt, which is completed by the head. */
    readonly record: AttemptRecord;
    /** The connection; `undefined` before a byte of the request was written. */
    readonly use: ConnectionUse | undefined;
    readonly startedAtMs: number;
}

/**
 * Finds out whose response a head begins, reports it if it is not the answer to the attempt, and updates the estimates of the
 * upstream otherwise.
 *
 * @param options - The attempt.
 * @param head - The head.
 */
export const receiveHead = (options: AttemptOptions, head: ReceivedHead): ParsedResponse => {
    const { services, progress, upstream } = options;
    const { status, headers, attemptId, record, use } = head;
    const response = services.headerProtocol.readResponseHead({
        status,
        headers,
        service: progress.route.service,
        upstream: upstream.id,
        requestHeaders: progress.request.headers,
        attemptId,
        use,
    });
    if (response.echoesId && use !== undefined) {
        recordEcho(use, "ofRequest");
    }
    record.headMs = progress.ageMs;
    record.attribution = response.attribution;
    reportUnattributed(options, record, status, response);
    // A response to another request says nothing about the upstream now: it is old, or not from it.
    if (response.attribution !== "foreign") {
        updateUpstream(options, head, response);
    }
    return response;
};

/**
 * Reports that another response follows on the connection that delimits a response, so that nothing shows where it ends.
 *
 * @param options - The attempt.
 * @param record - Its record.
 * @param status - Status of the response.
 * @param response - Its head.
 * @returns The head, which may not be forwarded any more.
 */
export const rejectSecondResponse = (
    options: AttemptOptions,
    record: AttemptRecord,
    status: number,
    response: ParsedResponse,
): ParsedResponse => {
    const rejected = { ...response, mismatch: "another response on its connection follows it" };
    reportUnattributed(options, record, status, rejected);
    return rejected;
};

const reportUnattributed = (options: AttemptOptions, record: AttemptRecord, status: number, response: ParsedResponse): void => {
    const unattributed = findUnattributed(options, record, status, response);
    if (unattributed !== undefined) {
        options.services.onUnattributed(unattributed);
    }
};

const updateUpstream = (options: AttemptOptions, { startedAtMs }: ReceivedHead, response: ParsedResponse): void => {
    const { services, runtime, progress, upstream } = options;
    const { clock } = services;
    const { tracker } = runtime;
    const { service, policy: { chooser } } = progress.route;
    services.onNotice({ service: service.name, upstream, notice: response.notice, request: progress.record.id });
    applyResponse({ clock, tracker, upstream, response, sentAtMs: startedAtMs, isProbe: false, chooser });
    if (response.misdirected) {
        services.prober.confirm({ service, runtime, upstream });
    }
};
