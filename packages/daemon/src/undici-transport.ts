/**
 * The transport to upstreams over undici's pools.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import { asError, type UpstreamId } from "@harrierhitch/core";
import { type Dispatcher, Pool } from "undici";
import { UndiciAttempt } from "./undici-attempt.js";
import type { AnswerSink, Attempt, UpstreamRequest, UpstreamTarget, UpstreamTransport } from "./upstream-transport.js";

interface PoolEntry {
    readonly pool: Pool;
    readonly target: UpstreamTarget;
}

/** Idle time after which a connection is closed unless the upstream names another. */
const keepAliveMs = 10_000;

/** Limit on the head of an answer. */
const maximumAnswerHeadBytes = 32_768;

/** An {@link UpstreamTransport} with one pool of HTTP/1.1 connections for each upstream. */
export class UndiciTransport implements UpstreamTransport {
    private pools = new Map<UpstreamId, PoolEntry>();

    configure(targets: readonly UpstreamTarget[]): void {
        const old = this.pools;
        this.pools = new Map(targets.map(target => {
            const entry = old.get(target.upstream.id);
            const kept = entry !== undefined && sameTarget(entry.target, target);
            return [target.upstream.id, kept ? entry : { pool: openPool(target), target }];
        }));
        old.forEach((entry, id) => {
            if (this.pools.get(id) !== entry) {
                void entry.pool.close();
            }
        });
    }

    send(upstream: Upstream, request: UpstreamRequest, sink: AnswerSink): Attempt {
        const attempt = new UndiciAttempt(sink);
        const pool = this.pools.get(upstream.id)?.pool;
        if (pool === undefined) {
            attempt.onResponseError(undefined, new Error(`there is no pool for ${upstream.id}`));
            return attempt;
        }
        try {
            pool.dispatch(dispatchOptions(request), attempt);
        }
        catch (thrown) {
            attempt.onResponseError(undefined, asError(thrown));
        }
        return attempt;
    }

    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(entry => entry.pool.close()));
    }
}

const dispatchOptions = (request: UpstreamRequest): Dispatcher.DispatchOptions => ({
    method: request.method,
    path: request.path,
    headers: request.headers as string[],
    body: request.body ?? null,
    headersTimeout: 0,
    bodyTimeout: 0,
});

const openPool = ({ upstream, connections, connectTimeoutMs }: UpstreamTarget): Pool => {
    const host = upstream.address.includes(":") ? `[${upstream.address}]` : upstream.address;
    return new Pool(`http://${host}:${upstream.port}`, {
        connections,
        pipelining: 1,
        connect: { timeout: connectTimeoutMs },
        keepAliveTimeout: keepAliveMs,
        maxHeaderSize: maximumAnswerHeadBytes,
    });
};

const sameTarget = (a: UpstreamTarget, b: UpstreamTarget): boolean =>
    a.upstream.address === b.upstream.address
    && a.upstream.port === b.upstream.port
    && a.connections === b.connections
    && a.connectTimeoutMs === b.connectTimeoutMs;
