/**
 * A transport that monitors whether this instance can reach its upstreams.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import type { PortState } from "./check-port.js";
import { DirectAttempt } from "./direct-attempt.js";
import type { Reachability } from "./reachability.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTarget, UpstreamTransport } from "./upstream-transport.js";

/** Options of {@link MonitoredTransport}. */
export interface MonitoredTransportOptions {
    readonly clock: Clock;
    readonly direct: UpstreamTransport;
    readonly reachability: Reachability;
}

/** Sends requests directly, and has the paths to upstreams checked. */
export class MonitoredTransport implements UpstreamTransport {
    /** @param options - The transport and the monitor. */
    constructor(private readonly options: MonitoredTransportOptions) {}

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const { clock, direct, reachability } = this.options;
        return new DirectAttempt({ clock, transport: direct, reachability, upstream, request, sink });
    }

    checkPort(upstream: Upstream): Promise<PortState> {
        return this.options.direct.checkPort(upstream);
    }

    configure(targets: readonly UpstreamTarget[]): void {
        this.options.direct.configure(targets);
        this.options.reachability.configure(targets);
    }

    closeIdle(): void {
        this.options.direct.closeIdle();
    }

    close(): Promise<void> {
        this.options.reachability.stop();
        return this.options.direct.close();
    }
}
