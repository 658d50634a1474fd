/**
 * Serves requests that other instances send to upstreams through this one.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingMessage, ServerResponse } from "node:http";
import { requestHeaders } from "../request/headers.js";
import { hasBody } from "../request/request-body.js";
import type { PathTelemetry } from "../telemetry/path-telemetry.js";
import { recordEchoedId } from "../upstream/connection-use.js";
import { defaultPatienceMs } from "../upstream/direct-attempt.js";
import type { RoutedTransport } from "../upstream/routed-transport.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import { type DetourAddress, parseDetour } from "./detour-address.js";
import { DetourResponse, resultHeaders } from "./detour-response.js";
import { detourIdHeader, type DetourResult, type NotSentReason } from "./detour-result.js";
import { echoedIdHeader } from "./echoed-id-header.js";
import { framingHeader } from "./framing-header.js";
import { newConnectionHeader } from "./new-connection-header.js";

/** Options of {@link DetourListener}. */
export interface DetourListenerOptions {
    readonly clock: Clock;
    readonly fleet: string;
    readonly transport: RoutedTransport;
    readonly telemetry: PathTelemetry;
    /** Returns the services of this instance. */
    readonly services: () => readonly ServiceRuntime[];
    /** Whether an instance is a member of the fleet. */
    readonly isMember: (instance: string) => boolean;
    readonly isStopping: () => boolean;
    /** Whether requests may be sent by the published state that this instance has. */
    readonly isStateCurrent: () => boolean;
    /** Waits until they may be, for the given time in milliseconds at most. */
    readonly awaitState: (leftMs: number) => Promise<unknown>;
}

/** Most requests of other instances that are served at the same time. */
const maximumInFlight = 256;

const failedStatus = 502;
const notSentStatus = 503;

interface Destination {
    readonly runtime: ServiceRuntime;
    readonly upstream: UpstreamEntry;
}

/** Sends requests of other instances to upstreams over connections of this instance only. */
export class DetourListener {
    private readonly inFlight = new Set<Promise<void>>();

    /** @param options - Transport, services and membership. */
    constructor(private readonly options: DetourListenerOptions) {}

    /** Serves one request of another instance. */
    handle(request: IncomingMessage, response: ServerResponse): void {
        response.sendDate = false;
        const task = this.serve(request, response).catch((thrown: unknown) => {
            this.options.telemetry.detourFailed(thrown);
            response.destroy();
        }).finally(() => this.inFlight.delete(task));
        this.inFlight.add(task);
    }

    /** Resolves when the requests in flight have ended. */
    async drain(): Promise<void> {
        await Promise.all(this.inFlight);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const address = parseDetour(request.url ?? "");
        if (address === undefined) {
            respond(request, response, { type: "not-sent", reason: "rejected" });
            return;
        }
        const { clock, telemetry } = this.options;
        const startedAtMs = clock.nowMs();
        const destination = this.destinationOf(address);
        const reason = this.rejectionOf(address) ?? await this.obstacleOf(address, destination);
        const waitedMs = clock.nowMs() - startedAtMs;
        const forwarded = new DetourResponse(request, response);
        let result: DetourResult = { type: "answered" };
        if (reason !== undefined || destination === undefined) {
            result = { type: "not-sent", reason: reason ?? "unknown-upstream" };
        }
        else if (address.action === "send") {
            result = await this.forward(address, destination, request, forwarded);
        }
        if (!response.headersSent) {
            respond(request, response, result);
        }
        telemetry.detourServed({
            address,
            result,
            framing: forwarded.framing,
            waitedMs,
            durationMs: clock.nowMs() - startedAtMs,
        });
        await whenClosed(response);
    }

    /** Returns why nothing can be sent to the upstream; a check always opens a connection, since the last response may be older than a crash. */
    private async obstacleOf(
        { action, timeoutMs }: DetourAddress,
        destination: Destination | undefined,
    ): Promise<NotSentReason | undefined> {
        const { transport, awaitState } = this.options;
        if (destination === undefined) {
            return "unknown-upstream";
        }
        if (action === "send") {
            // An instance that serves no callers of its own may not have read the platform for long.
            await awaitState(timeoutMs);
            return await transport.obstacleTo(destination.upstream.id);
        }
        const state = await transport.checkPortDirectly(destination.upstream);
        return state === "open" ? undefined : state;
    }

    private rejectionOf({ fleet, instance }: DetourAddress): NotSentReason | undefined {
        if (fleet !== this.options.fleet || !this.options.isMember(instance)) {
            return "rejected";
        }
        if (this.options.isStopping()) {
            return "stopping";
        }
        return this.inFlight.size > maximumInFlight ? "busy" : undefined;
    }

    private destinationOf({ upstream: id, startedAtMs }: DetourAddress): Destination | undefined {
        return this.options.services().flatMap(runtime => {
            const upstream = runtime.tracker.find(id);
            return upstream !== undefined && (upstream.startedAtMs ?? 0) === startedAtMs ? [{ runtime, upstream }] : [];
        })[0];
    }

    private async forward(
        address: DetourAddress,
        { runtime, upstream }: Destination,
        request: IncomingMessage,
        forwarded: DetourResponse,
    ): Promise<DetourResult> {
        const { response } = forwarded;
        const { clock, transport, isStateCurrent } = this.options;
        const attempt = transport.send(upstream, {
            method: request.method ?? "GET",
            path: address.url,
            headers: requestHeaders(request.rawHeaders, request.headers.connection, {
                [detourIdHeader]: undefined,
                [newConnectionHeader]: undefined,
                [framingHeader]: undefined,
                [echoedIdHeader]: undefined,
            }),
            needsNewConnection: request.headers[newConnectionHeader] !== undefined,
            body: hasBody(request) ? request : undefined,
            mayBegin: () => !response.destroyed && isStateCurrent() && runtime.tracker.acceptsRequests(upstream),
            isDirectOnly: true,
            onBegin: use => {
                recordEchoedId(use, request.headers[echoedIdHeader]?.toString());
                forwarded.recordUse(use);
            },
            ...(address.request === "" ? {} : { patienceMs: defaultPatienceMs }),
        }, forwarded);
        forwarded.onDrain(() => attempt.resume());
        forwarded.onSurplus(() => attempt.cancel("cancelled"));
        const timer = clock.after(address.timeoutMs, () => attempt.cancel("timed-out"));
        response.once("close", () => attempt.cancel("cancelled"));
        const result = await attempt.result;
        timer.cancel();
        return forwarded.finish(result);
    }
}

/** Resolves when the other instance has taken a response, or its connection was closed. */
const whenClosed = (response: ServerResponse): Promise<void> =>
    response.closed ? Promise.resolve() : new Promise(resolve => response.once("close", resolve));

const respond = (request: IncomingMessage, response: ServerResponse, result: DetourResult): void => {
    const status = result.type === "not-sent" ? notSentStatus : result.type === "answered" ? 204 : failedStatus;
    // What is left of the request's body must not be taken for the next request.
    const connection = request.complete || !hasBody(request) ? {} : { connection: "close" };
    response.writeHead(status, {
        ...resultHeaders(request, result),
        ...(status === 204 ? {} : { "content-length": 0 }),
        ...connection,
    });
    response.end();
};
