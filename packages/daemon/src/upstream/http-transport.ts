/**
 * The transport to upstreams over `node:http`.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import { isSameIncarnation } from "@harrierhitch/decision";
import { checkPort, type PortState } from "./check-port.js";
import { HttpAttempt } from "./http-attempt.js";
import { UpstreamAgent } from "./upstream-agent.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTarget, UpstreamTransport } from "./upstream-transport.js";

interface AgentEntry {
    readonly agent: UpstreamAgent;
    readonly target: UpstreamTarget;
}

/** Idle time after which a connection is closed unless the upstream names a shorter one. */
const keepAliveMs = 10_000;

/** An {@link UpstreamTransport} with an agent for each upstream. */
export class HttpTransport implements UpstreamTransport {
    private agents = new Map<UpstreamId, AgentEntry>();

    configure(targets: readonly UpstreamTarget[]): void {
        const old = this.agents;
        this.agents = new Map(targets.map(target => {
            const entry = old.get(target.upstream.id);
            const kept = entry !== undefined && sameTarget(entry.target, target);
            return [target.upstream.id, kept ? entry : openAgent(target)];
        }));
        old.forEach((entry, id) => {
            if (this.agents.get(id) !== entry) {
                entry.agent.retire();
            }
        });
    }

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const entry = this.agents.get(upstream.id);
        if (entry === undefined) {
            const detail = `there are no connections to ${upstream.id}`;
            const result = Promise.resolve({ end: "connect-failed", status: undefined, detail, sent: false } as const);
            return { result, cancel: () => undefined, resume: () => undefined };
        }
        return new HttpAttempt(entry.target, entry.agent, request, sink);
    }

    checkPort(upstream: Upstream): Promise<PortState> {
        return checkPort(upstream);
    }

    closeIdle(): void {
        this.agents.forEach(entry => entry.agent.closeIdle());
    }

    close(): Promise<void> {
        this.agents.forEach(entry => entry.agent.destroy());
        return Promise.resolve();
    }
}

const openAgent = (target: UpstreamTarget): AgentEntry => {
    return { target, agent: new UpstreamAgent({ connections: target.connections, keepAliveMs }) };
};

const sameTarget = (a: UpstreamTarget, b: UpstreamTarget): boolean =>
    isSameIncarnation(a.upstream, b.upstream)
    && a.connections === b.connections
    && a.connectTimeoutMs === b.connectTimeoutMs;
