/**
 * The header protocol whose header names are set in the configuration.
 *
 * @packageDocumentation
 */

import type { Configuration, RequestKind, Service } from "@harrierhitch/configuration";
import type { Outcome } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import { readLimit } from "./announced-limit.js";
import type {
    Attribution,
    HeaderProtocol,
    LoadReport,
    OutgoingAttempt,
    ParsedResponse,
    ResponseHead,
} from "./header-protocol.js";
import { outcomeHeader } from "./problem.js";
import { numberHeader, pathOf, type RequestMetadata, textHeader } from "./request-metadata.js";
import { readBackoff } from "./response-notice.js";

/** Statuses that gateways generate; they leave open whether the request ran. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Default {@link HeaderProtocol}, with header names from the configuration. */
export class ConfiguredHeaderProtocol implements HeaderProtocol {
    readRequestMetadata(request: IncomingMessage, { fleet }: Configuration, kind: RequestKind): RequestMetadata {
        const callerTimeoutMs = numberHeader(request, fleet.timeoutHeader);
        return {
            timeoutMs: callerTimeoutMs === undefined ? kind.timeoutMs : Math.min(callerTimeoutMs, kind.timeoutMs),
            callerTimeoutMs,
            workspace: textHeader(request, fleet.workspaceHeader) ?? "",
            depth: numberHeader(request, fleet.depthHeader) ?? 0,
            path: pathOf(request.url ?? "/"),
        };
    }

    attemptHeaders(attempt: OutgoingAttempt): Readonly<Record<string, string | undefined>> {
        const { configuration: { fleet: { timeoutHeader, depthHeader } }, service, attemptId, remainingMs, depth } = attempt;
        return { [timeoutHeader]: String(remainingMs), [depthHeader]: String(depth), [service.attemptHeader]: attemptId };
    }

    callerHeaders(
        { headers }: IncomingMessage,
        { attemptHeader, shedHeader }: Service,
        outcome: Outcome,
    ): Readonly<Record<string, string | undefined>> {
        // An upstream's statement that is not proved must not reach the caller under the name of another header.
        const unprovedStatement = outcome === "not-run" ? {} : { [shedHeader]: undefined };
        return { ...unprovedStatement, [attemptHeader]: headers[attemptHeader]?.toString() };
    }

    formatRetryAfter(delayMs: number): string {
        return String(Math.ceil(delayMs / 1000));
    }

    readResponseHead(head: ResponseHead): ParsedResponse {
        const { status, headers, service } = head;
        const attribution = attributionOf(head);
        const shed = service.shedStatuses.has(status) && headers[service.shedHeader] === "not-run";
        const reportedOutcome = shed ? "not-run" : outcomeOfStatus(status, headers[outcomeHeader]);
        const draining = headers[service.drainHeader] === "draining";
        return {
            attribution,
            mismatch: attribution === "foreign" ? "it has the id of another attempt" : undefined,
            outcome: reportedOutcome === "not-run" && attribution !== "own" ? "unknown" : reportedOutcome,
            shed,
            misdirected: false,
            confirmed: false,
            failed: status >= 500,
            retryable: shed || gatewayStatuses.has(status),
            forwardable: true,
            notice: { draining, limit: readLimit(headers[service.limitHeader]), ...readBackoff(status, headers) },
            load: readLoad(headers[service.loadHeader]),
            coldMs: undefined,
        };
    }
}

const attributionOf = ({ headers, service, attemptId, precedingRequests }: ResponseHead): Attribution => {
    const echoed = headers[service.attemptHeader];
    if (echoed !== undefined && echoed !== attemptId) {
        return "foreign";
    }
    return echoed !== undefined || precedingRequests === 0 ? "own" : "unproved";
};

const outcomeOfStatus = (status: number, reportedOutcome: string | readonly string[] | undefined): Outcome => {
    if (status >= 500 && (reportedOutcome === "unknown" || reportedOutcome === "not-run")) {
        return reportedOutcome;
    }
    return gatewayStatuses.has(status) ? "unknown" : "ran";
};

const readLoad = (text: string | readonly string[] | undefined): LoadReport | undefined => {
    const inFlight = Number(text ?? NaN);
    return Number.isFinite(inFlight) && inFlight >= 0 ? { inFlight } : undefined;
};
