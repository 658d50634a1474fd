/**
 * The dialect whose header names are written in the configuration.
 *
 * @packageDocumentation
 */

import type { Configuration, RequestKind } from "@harrierhitch/configuration";
import type { Outcome } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import { readLimit } from "./announced-limit.js";
import type { HeaderProtocol, LoadReport, OutgoingAttempt, ParsedResponse, ResponseHead } from "./header-protocol.js";
import { outcomeHeader } from "./problem.js";
import { numberHeader, pathOf, type RequestMetadata, textHeader } from "./request-metadata.js";
import { readBackoff } from "./response-notice.js";

/** Statuses by which a gateway says that it could not answer; they do not tell whether the request ran. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** harrierhitch's own {@link HeaderProtocol}. */
export class ConfiguredHeaderProtocol implements HeaderProtocol {
    readRequestMetadata(request: IncomingMessage, { fleet }: Configuration, kind: RequestKind): RequestMetadata {
        const asked = numberHeader(request, fleet.timeoutHeader);
        return {
            timeoutMs: asked === undefined ? kind.timeoutMs : Math.min(asked, kind.timeoutMs),
            callerTimeoutMs: asked,
            workspace: textHeader(request, fleet.workspaceHeader) ?? "",
            depth: numberHeader(request, fleet.depthHeader) ?? 0,
            path: pathOf(request.url ?? "/"),
        };
    }

    attemptHeaders({ configuration, remainingMs, depth }: OutgoingAttempt): Readonly<Record<string, string | undefined>> {
        const { timeoutHeader, depthHeader } = configuration.fleet;
        return { [timeoutHeader]: String(remainingMs), [depthHeader]: String(depth) };
    }

    formatRetryAfter(delayMs: number): string {
        return String(Math.ceil(delayMs / 1000));
    }

    readResponseHead({ status, headers, service }: ResponseHead): ParsedResponse {
        const shed = service.shedStatuses.has(status) && headers[service.shedHeader] === "not-run";
        const told = headers[outcomeHeader];
        const leaving = headers[service.drainHeader] === "draining";
        return {
            mismatch: undefined,
            outcome: shed ? "not-run" : outcomeOfStatus(status, told),
            shed,
            misdirected: false,
            failed: status >= 500,
            retryable: shed || gatewayStatuses.has(status),
            forwardable: true,
            notice: { draining: leaving, limit: readLimit(headers[service.limitHeader]), ...readBackoff(status, headers) },
            load: readLoad(headers[service.loadHeader]),
            coldMs: undefined,
        };
    }
}

const outcomeOfStatus = (status: number, told: string | readonly string[] | undefined): Outcome => {
    if (status >= 500 && (told === "unknown" || told === "not-run")) {
        return told;
    }
    return gatewayStatuses.has(status) ? "unknown" : "ran";
};

const readLoad = (text: string | readonly string[] | undefined): LoadReport | undefined => {
    const inFlight = Number(text ?? NaN);
    return Number.isFinite(inFlight) && inFlight >= 0 ? { inFlight } : undefined;
};
