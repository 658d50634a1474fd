/**
 * Requests of modelled callers and the responses to them.
 */

import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { modelTimeoutHeader } from "./model-header-protocol.js";

/** Creates a caller's request with the members that an instance uses. */
export const modelRequest = (callerTimeoutMs: number): IncomingMessage =>
    ({
        method: "GET",
        url: "/",
        httpVersion: "1.1",
        headers: { host: "model", [modelTimeoutHeader]: String(callerTimeoutMs) },
        rawHeaders: ["host", "model"],
        complete: true,
        socket: Object.assign(new EventEmitter(), { remoteAddress: "127.0.0.1", isPaused: () => false }),
    }) as unknown as IncomingMessage;

/** Records a response; implements the members of a server response that an instance uses. */
export class ModelResponse extends EventEmitter {
    status = 0;
    headers: Readonly<Record<string, unknown>> = {};
    writableFinished = false;

    get headersSent(): boolean {
        return this.status !== 0;
    }

    writeHead(status: number, headers: Readonly<Record<string, unknown>>): void {
        this.status = status;
        this.headers = headers;
    }

    end(): void {
        this.writableFinished = true;
        this.emit("close");
    }
}
