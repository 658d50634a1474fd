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
import { numberHeader, recordedPathOf, type RequestMetadata, textHeader } from "./request-metadata.js";
import { noNotice, readBackoff, type ResponseNotice } from "./response-notice.js";

/** Statuses that gateways generate; they leave open whether the request ran. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Default {@link HeaderProtocol}, with header names from the configuration. */
export class ConfiguredHeaderProtocol implements HeaderProtocol {
    readRequestMetadata(request: IncomingMessage, fleet: Configuration["fleet"], kind: RequestKind): RequestMetadata {
        const callerTimeoutMs = numberHeader(request, fleet.timeoutHeader);
        return {
            timeoutMs: callerTimeoutMs === undefined ? kind.timeoutMs : Math.min(callerTimeoutMs, kind.timeoutMs),
            callerTimeoutMs,
            workspace: textHeader(request, fleet.workspaceHeader) ?? "",
            depth: numberHeader(request, fleet.depthHeader) ?? 0,
            path: recordedPathOf(request.url ?? "/"),
        };
    }

    attemptHeaders(attempt: OutgoingAttempt): Readonly<Record<string, string | undefined>> {
        const { fleet: { timeoutHeader, depthHeader }, service, attemptId, remainingMs, depth } = attempt;
        return { [timeoutHeader]: String(remainingMs), [depthHeader]: String(depth), [service.attemptHeader]: attemptId };
    }

    echoedId(_: IncomingMessage, attemptId: string): string {
        return attemptId;
    }

    probeHeaders({ attemptHeader }: Service, probeId: string): Readonly<Record<string, string>> {
        return { [attemptHeader]: probeId };
    }

    callerHeaders({ headers }: IncomingMessage, { attemptHeader }: Service): Readonly<Record<string, string | undefined>> {
        return { [attemptHeader]: headers[attemptHeader]?.toString() };
    }

    formatRetryAfter(delayMs: number): string {
        return String(Math.ceil(delayMs / 1000));
    }

    readResponseHead(head: ResponseHead): ParsedResponse {
        const { status, headers, service } = head;
        const attribution = attributionOf(head);
        const shed = service.shedStatuses.has(status) && headers[service.shedHeader] === "not-run";
        const reportedOutcome = shed ? "not-run" : outcomeOfStatus(status, headers[outcomeHeader]);
        const isUnprovedStatement = reportedOutcome === "not-run" && attribution !== "own";
        return {
            attribution,
            echoesId: headers[service.attemptHeader] !== undefined && attribution === "own",
            mismatch: attribution === "foreign" ? "it has the id of another attempt, or none" : undefined,
            outcome: isUnprovedStatement ? "unknown" : reportedOutcome,
            shed,
            misdirected: false,
            confirmed: false,
            failed: status >= 500,
            retryable: shed || gatewayStatuses.has(status),
            forwardable: !isUnprovedStatement,
            // A notice from elsewhere could take the upstream out of service at all instances.
            notice: attribution === "unproved" && expectsIds(head) ? noNotice : readNotice(head),
            load: readLoad(headers[service.loadHeader]),
            coldMs: undefined,
        };
    }
}

const readNotice = ({ status, headers, service }: ResponseHead): ResponseNotice => ({
    draining: headers[service.drainHeader] === "draining",
    limit: readLimit(headers[service.limitHeader]),
    ...readBackoff(status, headers),
});

/** Whether a head without an id is doubtful; over another instance nothing is known of the upstream's heads. */
const expectsIds = ({ use }: ResponseHead): boolean => use?.precedingRequests === undefined || use.upstreamEchoes.hasEchoed;

const attributionOf = (head: ResponseHead): Attribution => {
    const { headers, service, attemptId, requestHeaders, use } = head;
    const echoed = headers[service.attemptHeader];
    if (echoed !== undefined) {
        return echoed === attemptId ? "own" : "foreign";
    }
    // Upstreams may repeat the ids of requests or of probes only.
    const isProbe = requestHeaders === undefined;
    if (isProbe ? use?.echoes.ofProbe === true : use?.echoes.ofRequest === true) {
        return "foreign";
    }
    return use?.precedingRequests === 0 && !use.upstreamEchoes.hasEchoed ? "own" : "unproved";
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
