/**
 * Reaches upstreams through other instances.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { PortState } from "../upstream/check-port.js";
import type { Attempt, ResponseSink, UpstreamRequest } from "../upstream/upstream-transport.js";
import { DetourAttempt } from "./detour-attempt.js";
import type { DetourClient } from "./detour-client.js";
import type { DetourPeers } from "./detour-peers.js";
import { detourHeader, parseDetourResult } from "./detour-result.js";

/** Options of {@link Detours}. */
export interface DetoursOptions {
    readonly clock: Clock;
    readonly client: DetourClient;
    readonly peers: DetourPeers;
}

/** Sends requests through other instances, and has them check upstreams. */
export class Detours {
    /** @param options - The client and the selection of instances. */
    constructor(private readonly options: DetoursOptions) {}

    /** Whether there are other instances to send through. */
    get isAvailable(): boolean {
        return this.options.client.isAvailable;
    }

    send(service: ServiceName, upstream: UpstreamEntry, request: UpstreamRequest, sink: ResponseSink): Attempt {
        return new DetourAttempt({ ...this.options, service, upstream, request, sink });
    }

    /** Has another instance check whether an upstream accepts connections; `undefined` if none knows. */
    async check(service: ServiceName, upstream: UpstreamEntry): Promise<PortState | undefined> {
        const { client, peers } = this.options;
        const peer = peers.choose(service, []);
        return peer === undefined ? undefined : await client.check(peer, upstream, headers => portStateOf(headers));
    }
}

const portStateOf = (headers: unknown): PortState | undefined => {
    const result = parseDetourResult((headers as Record<string, unknown>)[detourHeader]);
    if (result.type === "answered") {
        return "open";
    }
    return result.type === "not-sent" && result.reason === "closed" ? "closed" : undefined;
};
