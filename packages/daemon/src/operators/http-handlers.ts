/**
 * Plain HTTP endpoints for operators and the platform's load balancer: liveness, readiness and metrics.
 *
 * @packageDocumentation
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Registry } from "prom-client";

/** Options of {@link operatorsHttpHandler}. */
export interface OperatorsHttpOptions {
    readonly registry: Registry;
    /** Whether the platform's load balancer may route callers to this instance. */
    readonly isReady: () => boolean;
    /** Updates the gauges before they are scraped. */
    readonly refresh: () => void;
}

/** Serves liveness, readiness and metrics. */
export const operatorsHttpHandler =
    ({ registry, isReady, refresh }: OperatorsHttpOptions) => (request: IncomingMessage, response: ServerResponse): void => {
        switch (request.url) {
            case "/livez":
                respondText(response, 200, "live\n");
                break;
            case "/readyz":
                respondText(response, isReady() ? 200 : 503, isReady() ? "ready\n" : "not ready\n");
                break;
            case "/metrics":
                refresh();
                void registry.metrics().then(text => respondText(response, 200, text, registry.contentType));
                break;
            default:
                respondNotFound(request, response);
        }
    };

/** Serves readiness on a single path: 200 if callers may be routed to this instance, 503 otherwise. */
export const readinessHandler =
    (path: string, isReady: () => boolean) => (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url === path) {
            respondText(response, isReady() ? 200 : 503, isReady() ? "ready\n" : "not ready\n");
        }
        else {
            respondNotFound(request, response);
        }
    };

export const respondNotFound = (_: IncomingMessage, response: ServerResponse): void => {
    respondText(response, 404, "not found\n");
};

const respondText = (response: ServerResponse, status: number, text: string, type = "text/plain; charset=utf-8"): void => {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(text) });
    response.end(text);
};
