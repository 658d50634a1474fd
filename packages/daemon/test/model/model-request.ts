/**
 * Requests of modelled callers, and what they are answered.
 */

import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { modelPatienceHeader } from "./model-dialect.js";

/** A request of a modelled caller; as much of one as an instance uses. */
export const modelRequest = (patienceMs: number): IncomingMessage =>
    ({
        method: "GET",
        url: "/",
        httpVersion: "1.1",
        headers: { host: "model", [modelPatienceHeader]: String(patienceMs) },
        rawHeaders: ["host", "model"],
        complete: true,
        socket: { remoteAddress: "127.0.0.1" },
    }) as unknown as IncomingMessage;

/** Takes an answer; as much of a response as an instance uses. */
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
