/**
 * Builds the request of an attempt.
 *
 * @packageDocumentation
 */

import type { UpstreamEntry } from "@harrierhitch/decision";
import { toTraceparent } from "../telemetry/trace-context.js";
import { defaultPatienceMs } from "../upstream/direct-attempt.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { UpstreamRequest } from "../upstream/upstream-transport.js";
import type { AttemptRecord } from "./decision-record.js";
import { requestHeaders } from "./headers.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Options of {@link buildUpstreamRequest}. */
export interface UpstreamRequestOptions {
    readonly services: RequestServices;
    readonly runtime: ServiceRuntime;
    readonly progress: RequestProgress;
    readonly body: RequestBody;
    readonly upstream: UpstreamEntry;
    /** Record of the attempt, which is the last one of the request. */
    readonly record: AttemptRecord;
    readonly attemptId: string;
}

/** Time subtracted from the deadline at each hop, so that the next hop's response arrives before it. */
const hopMarginMs = 2;

/** Multiple of the usual service time after which the path to a silent upstream is checked. */
const patienceFactor = 3;

/** Returns the request that an attempt sends to its upstream. */
export const buildUpstreamRequest = (options: UpstreamRequestOptions): UpstreamRequest => {
    const { services, runtime, progress, body, upstream, record: { spanId }, attemptId } = options;
    const { request, metadata, trace, fleet } = progress;
    const { attempts } = progress.record;
    const { kind, service } = progress.route;
    const remainingMs = Math.max(1, Math.floor(progress.remainingMs - hopMarginMs));
    const depth = metadata.depth + 1;
    const added = services.headerProtocol.attemptHeaders({ fleet, service, upstream, attemptId, remainingMs, depth });
    const headers = requestHeaders(request.rawHeaders, request.headers.connection, {
        ...added,
        traceparent: toTraceparent(trace, spanId),
    });
    return {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers,
        body: body.open(),
        requestId: progress.record.id,
        echoedId: services.headerProtocol.echoedId(request, attemptId),
        isRepeatable: kind.repeatable && body.canReplay,
        // A late response to an earlier attempt may have the same id.
        needsNewConnection: attempts.slice(0, -1).some(other => other.upstream === upstream.id && other.result?.sent !== false),
        timeoutMs: progress.remainingMs,
        patienceMs: Math.max(defaultPatienceMs, patienceFactor * (runtime.latencyBaselines.baselineOf(kind.name) ?? 0)),
    };
};
