/**
 * Transport to upstreams over `node:http`.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import { isSameIncarnation } from "@harrierhitch/decision";
import { Agent } from "node:http";
import { checkPort, type PortState } from "./check-port.js";
import type { UpstreamEchoes } from "./connection-use.js";
import { HttpAttempt } from "./http-attempt.js";
import { openAttempt, unsentAttempt } from "./open-attempt.js";
import { UpstreamAgent } from "./upstream-agent.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTarget, UpstreamTransport } from "./upstream-transport.js";

interface AgentEntry {
    readonly agent: UpstreamAgent;
    readonly target: UpstreamTarget;
    readonly echoes: UpstreamEchoes;
}

/** Idle timeout of connections, in milliseconds; an upstream may announce a shorter one. */
const keepAliveMs = 10_000;

/** An {@link UpstreamTransport} with one agent per upstream. */
export class HttpTransport implements UpstreamTransport {
    private agents = new Map<UpstreamId, AgentEntry>();
    /** Opens connections for single requests. */
    private readonly singleUseAgent = new Agent({ keepAlive: false });

    configure(targets: readonly UpstreamTarget[]): void {
        const previous = this.agents;
        this.agents = new Map(targets.map(target => {
            const entry = previous.get(target.upstream.id);
            const isUnchanged = entry !== undefined && isSameTarget(entry.target, target);
            return [target.upstream.id, isUnchanged ? entry : createAgent(target)];
        }));
        previous.forEach((entry, id) => {
            if (this.agents.get(id) !== entry) {
                entry.agent.retire();
            }
        });
    }

    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt {
        const entry = this.agents.get(upstream.id);
        if (entry === undefined) {
            return unsentAttempt(`there are no connections to ${upstream.id}`);
        }
        const { needsNewConnection = false } = request;
        if (needsNewConnection) {
            entry.agent.closeOneIdle();
        }
        const target = { ...entry.target.upstream, connectTimeoutMs: entry.target.connectTimeoutMs, echoes: entry.echoes };
        const agent = needsNewConnection ? this.singleUseAgent : entry.agent;
        return openAttempt(() => new HttpAttempt(target, agent, request, sink));
    }

    checkPort(upstream: Upstream): Promise<PortState> {
        return checkPort(upstream);
    }

    closeIdle(upstream?: UpstreamId): void {
        const entries = upstream === undefined ? [...this.agents.values()] : [this.agents.get(upstream)];
        entries.forEach(entry => entry?.agent.closeIdle());
    }

    close(): Promise<void> {
        this.agents.forEach(entry => entry.agent.destroy());
        this.singleUseAgent.destroy();
        return Promise.resolve();
    }
}

const createAgent = (target: UpstreamTarget): AgentEntry => {
    const agent = new UpstreamAgent({ connections: target.connections, keepAliveMs });
    return { target, agent, echoes: { hasEchoed: false } };
};

const isSameTarget = (a: UpstreamTarget, b: UpstreamTarget): boolean =>
    isSameIncarnation(a.upstream, b.upstream)
    && a.connections === b.connections
    && a.connectTimeoutMs === b.connectTimeoutMs;
