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

    /**
     * Has other instances check whether an upstream accepts connections.
     *
     * @param service - The service of the upstream.
     * @param upstream - The upstream.
     * @returns What the first of two instances found that can tell; `silent` if neither can.
     */
    async checkPort(service: ServiceName, upstream: UpstreamEntry): Promise<PortState> {
        const { client, peers } = this.options;
        const first = peers.choose(service, []);
        const second = first === undefined ? undefined : peers.choose(service, [first.instance]);
        const asked = [first, second].flatMap(peer => peer ?? []);
        const checks = asked.map(peer => client.check(peer, upstream));
        return await new Promise(resolve => {
            checks.forEach(check => void check.then(state => state === "silent" ? undefined : resolve(state)));
            void Promise.all(checks).then(() => resolve("silent"));
        });
    }
}
