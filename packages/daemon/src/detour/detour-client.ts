/**
 * Sends requests to upstreams through other instances.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { Member } from "@harrierhitch/protocol";
import type { Agent as HttpAgent } from "node:http";
import type { Agent as HttpsAgent } from "node:https";
import { newSpanId } from "../telemetry/trace-context.js";
import { checkPort, type PortState } from "../upstream/check-port.js";
import { HttpAttempt } from "../upstream/http-attempt.js";
import { openAttempt, unsentAttempt } from "../upstream/open-attempt.js";
import type { Attempt, ResponseSink, UpstreamRequest } from "../upstream/upstream-transport.js";
import { type DetourAction, formatDetour } from "./detour-address.js";
import { detourIdHeader, type DetourResult, readDetourResult } from "./detour-result.js";
import { echoedIdHeader } from "./echoed-id-header.js";
import { framingHeader } from "./framing-header.js";
import { newConnectionHeader } from "./new-connection-header.js";

/** Options of {@link DetourClient}. */
export interface DetourClientOptions {
    readonly fleet: string;
    readonly instance: string;
    /** Connections to other instances; `undefined` before this instance has joined the fleet. */
    readonly agent: () => HttpAgent | HttpsAgent | undefined;
}

/** Connect timeout to another instance, in milliseconds. */
const connectTimeoutMs = 200;

/** Timeout of a check by another instance, in milliseconds. */
const checkTimeoutMs = 250;

/** Timeout of a request that states none, in milliseconds. */
const defaultTimeoutMs = 60_000;

/** Sends single requests through a given instance. */
export class DetourClient {
    /** @param options - Names and connections of this instance. */
    constructor(private readonly options: DetourClientOptions) {}

    /** Whether this instance is connected to others. */
    get isAvailable(): boolean {
        return this.options.agent() !== undefined;
    }

    /**
     * Sends a request through another instance.
     *
     * @param peer - The instance.
     * @param upstream - The upstream to which it sends the request.
     * @param request - The request.
     * @param sink - Receives the other instance's response.
     */
    send(peer: Member, upstream: UpstreamEntry, request: UpstreamRequest, sink: ResponseSink): Attempt {
        return this.open(peer, upstream, request, sink, "send");
    }

    /** Asks another instance whether an upstream accepts its connections. */
    async check(peer: Member, upstream: UpstreamEntry): Promise<PortState> {
        let state: PortState = "silent";
        const id = newSpanId();
        const headers = ["host", "instance", detourIdHeader, id];
        const request = { method: "GET", path: "/", headers, body: undefined, timeoutMs: checkTimeoutMs };
        const attempt = this.open(peer, upstream, request, {
            onHead: (_, received) => {
                const result = readDetourResult(received, id);
                state = portStateOf(result);
                return result.type !== "lost";
            },
            onData: () => true,
        }, "check");
        const timer = setTimeout(() => attempt.cancel("timed-out"), checkTimeoutMs);
        await attempt.result;
        clearTimeout(timer);
        return state;
    }

    /** Whether another instance accepts connections. */
    async isListening({ address, port }: Member): Promise<boolean> {
        return await checkPort({ address, port } as Upstream) === "open";
    }

    private open(
        { address, port }: Member,
        { id, startedAtMs = 0 }: UpstreamEntry,
        request: UpstreamRequest,
        sink: ResponseSink,
        action: DetourAction,
    ): Attempt {
        const { fleet, instance } = this.options;
        const agent = this.options.agent();
        if (agent === undefined) {
            return unsentAttempt("not in a fleet");
        }
        const onNewConnection = request.needsNewConnection === true ? [newConnectionHeader, "1"] : [];
        const echoedId = request.echoedId === undefined ? [] : [echoedIdHeader, request.echoedId];
        const headers = [...request.headers, framingHeader, "1", ...onNewConnection, ...echoedId];
        const target = { address, port, connectTimeoutMs, echoes: { hasEchoed: false } };
        return openAttempt(() => {
            const path = formatDetour({
                action,
                fleet,
                instance,
                request: request.requestId ?? "",
                upstream: id,
                startedAtMs,
                timeoutMs: request.timeoutMs ?? defaultTimeoutMs,
                url: request.path,
            });
            return new HttpAttempt(target, agent, { ...request, headers, path }, sink);
        });
    }
}

const portStateOf = (result: DetourResult): PortState => {
    if (result.type === "answered") {
        return "open";
    }
    return result.type === "not-sent" && result.reason === "closed" ? "closed" : "silent";
};
