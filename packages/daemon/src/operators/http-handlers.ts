/**
 * What operators and the platform's balancer are answered by plain HTTP.
 *
 * @packageDocumentation
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Registry } from "prom-client";

/** Options of {@link operatorsHttpHandler}. */
export interface OperatorsHttpOptions {
    readonly registry: Registry;
    /** Whether the platform's balancer may send callers here. */
    readonly isReady: () => boolean;
    /** Brings the gauges up to date before they are scraped. */
    readonly refresh: () => void;
}

/** Answers liveness, readiness and metrics. */
export const operatorsHttpHandler =
    ({ registry, isReady, refresh }: OperatorsHttpOptions) => (request: IncomingMessage, response: ServerResponse): void => {
        switch (request.url) {
            case "/livez":
                answerText(response, 200, "live\n");
                break;
            case "/readyz":
                answerText(response, isReady() ? 200 : 503, isReady() ? "ready\n" : "not ready\n");
                break;
            case "/metrics":
                refresh();
                void registry.metrics().then(text => answerText(response, 200, text, registry.contentType));
                break;
            default:
                respondNotFound(request, response);
        }
    };

/** Answers the balancer in front: 200 while callers may be sent here. */
export const readinessHandler =
    (path: string, isReady: () => boolean) => (request: IncomingMessage, response: ServerResponse): void => {
        if (request.url === path) {
            answerText(response, isReady() ? 200 : 503, isReady() ? "ready\n" : "not ready\n");
        }
        else {
            respondNotFound(request, response);
        }
    };

/** Answers 404. */
export const respondNotFound = (_: IncomingMessage, response: ServerResponse): void => {
    answerText(response, 404, "not found\n");
};

const answerText = (response: ServerResponse, status: number, text: string, type = "text/plain; charset=utf-8"): void => {
    response.writeHead(status, { "content-type": type, "content-length": Buffer.byteLength(text) });
    response.end(text);
};
