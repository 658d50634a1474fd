/**
 * A transport that reaches upstreams through proxies of its instance.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import {
    type Attempt,
    HttpTransport,
    type PortState,
    type ResponseSink,
    type UpstreamRequest,
    type UpstreamTarget,
    type UpstreamTransport,
} from "@harrierhitch/daemon";

/** Replaces the ports of upstreams by those of proxies. */
export class MappedTransport implements UpstreamTransport {
    private readonly inner = new HttpTransport();

    /** @param portOf - Returns the port of the proxy in front of an upstream's port. */
    constructor(private readonly portOf: (port: number) => number) {}

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        return this.inner.send(upstream, request, sink);
    }

    checkPort(upstream: Upstream): Promise<PortState> {
        return this.inner.checkPort(this.mapped(upstream));
    }

    configure(targets: readonly UpstreamTarget[]): void {
        this.inner.configure(targets.map(target => ({ ...target, upstream: this.mapped(target.upstream) })));
    }

    closeIdle(upstream?: UpstreamId): void {
        this.inner.closeIdle(upstream);
    }

    close(): Promise<void> {
        return this.inner.close();
    }

    private mapped<Entry extends Upstream>(upstream: Entry): Entry {
        return { ...upstream, port: this.portOf(upstream.port) };
    }
}
