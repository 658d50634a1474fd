/**
 * A transport that sends directly where this instance can reach the upstream, and through other instances where it cannot.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { NotSentReason } from "../detour/detour-result.js";
import type { PortState } from "./check-port.js";
import { RoutedAttempt, type Routes } from "./routed-attempt.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTarget, UpstreamTransport } from "./upstream-transport.js";

/** Monitors the paths to upstreams, and avoids those that are lost. */
export class RoutedTransport implements UpstreamTransport {
    /** @param options - The transports and the monitor. */
    constructor(private readonly options: Routes) {}

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const isProbe = request.patienceMs === undefined;
        return isProbe && this.options.reachability.isReachable(upstream.id)
            ? this.sendProbe(upstream, request, sink)
            : new RoutedAttempt({ ...this.options, upstream, request, sink });
    }

    /** Sends a probe directly; if it fails, it is not worth a detour, but the path is checked. */
    private sendProbe(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const { direct, reachability } = this.options;
        const attempt = direct.send(upstream, request, {
            onHead: (status, headers, framing) => {
                reachability.recordResponse(upstream.id);
                return sink.onHead(status, headers, framing);
            },
            onData: chunk => sink.onData(chunk),
        });
        void attempt.result.then(({ end }) => end === "connect-failed" ? reachability.verify(upstream.id) : undefined);
        return attempt;
    }

    /** Checks a port, through other instances as well where this one has lost the path, since its refusal then shows nothing. */
    async checkPort(upstream: Upstream): Promise<PortState> {
        const { direct, reachability, detours } = this.options;
        const state = await direct.checkPort(upstream);
        const service = reachability.serviceOf(upstream.id);
        if (
            state !== "closed" || reachability.isReachable(upstream.id) || detours?.isAvailable !== true || service === undefined
        ) {
            return state;
        }
        return await detours.checkPort(service, upstream) === "closed" ? "closed" : "silent";
    }

    /** Checks a port for another instance, over connections of this one; `silent` where it has lost the path. */
    async checkPortDirectly(upstream: Upstream): Promise<PortState> {
        return this.options.reachability.isReachable(upstream.id) ? await this.options.direct.checkPort(upstream) : "silent";
    }

    /** Returns why this instance cannot send to an upstream for others; `undefined` if it can. */
    async obstacleTo(upstream: UpstreamId): Promise<NotSentReason | undefined> {
        const { reachability } = this.options;
        if (reachability.isServiceReachable(upstream) && await reachability.confirm(upstream)) {
            return undefined;
        }
        if (!reachability.isServiceReachable(upstream)) {
            return "no-path";
        }
        return reachability.stateOf(upstream) === "closed" ? "closed" : "silent";
    }

    configure(targets: readonly UpstreamTarget[]): void {
        this.options.direct.configure(targets);
        this.options.reachability.configure(targets);
    }

    closeIdle(upstream?: UpstreamId): void {
        this.options.direct.closeIdle(upstream);
    }

    close(): Promise<void> {
        this.options.reachability.stop();
        return this.options.direct.close();
    }
}
