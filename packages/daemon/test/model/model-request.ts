/**
 * Requests of modelled callers and the responses to them.
 */

import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { outcomeHeader } from "../../src/request/problem.js";
import { modelTimeoutHeader } from "./model-header-protocol.js";

/** Header that names the caller to the upstream. */
export const modelCallerHeader = "model-caller";

/** The connection of a modelled caller. */
export class ModelSocket extends EventEmitter {
    readonly remoteAddress = "127.0.0.1";
    readonly bytesRead = 0;

    isPaused(): boolean {
        return false;
    }

    /** Closes the connection. */
    close(): void {
        this.emit("end");
        this.emit("close");
    }
}

/** Options of {@link modelRequest}. */
export interface ModelRequestOptions {
    /** Time for which the caller waits, in milliseconds. */
    readonly callerTimeoutMs: number;
    readonly caller?: string;
    /** Connection of the caller, which its pipelined requests share. */
    readonly socket?: ModelSocket;
    /** A POST is not repeatable; there is no route for PUT. */
    readonly method?: "GET" | "POST" | "PUT";
    readonly path?: string;
}

/** What a caller sees of a response. */
export interface ModelAnswer {
    readonly status: number;
    readonly retryAfterMs: number;
    /** Whether the request ran, as stated to the caller; empty if it is not. */
    readonly outcome: string;
}

/** Creates a caller's request with the members that an instance uses. */
export const modelRequest = (
    { callerTimeoutMs, caller = "caller", socket = new ModelSocket(), method = "GET", path = "/" }: ModelRequestOptions,
): IncomingMessage =>
    ({
        method,
        url: path,
        httpVersion: "1.1",
        headers: { host: "model", [modelTimeoutHeader]: String(callerTimeoutMs) },
        rawHeaders: ["host", "model", modelCallerHeader, caller],
        complete: true,
        socket,
    }) as unknown as IncomingMessage;

/** Records a response; implements the members of a server response that an instance uses. */
export class ModelResponse extends EventEmitter {
    status = 0;
    headers: Readonly<Record<string, unknown>> = {};
    writableFinished = false;

    get answer(): ModelAnswer {
        const { "retry-after": retryAfter, [outcomeHeader]: outcome } = this.headers;
        return {
            status: this.status,
            retryAfterMs: Number(retryAfter ?? 0) * 1000,
            outcome: typeof outcome === "string" ? outcome : "",
        };
    }

    get headersSent(): boolean {
        return this.status !== 0;
    }

    writeHead(status: number, headers: Readonly<Record<string, unknown>>): void {
        this.status = status;
        this.headers = headers;
    }

    /** Accepts data without delay. */
    write(): boolean {
        return true;
    }

    end(): void {
        this.writableFinished = true;
        this.emit("close");
    }
}
