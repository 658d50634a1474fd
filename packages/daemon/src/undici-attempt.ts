/**
 * One attempt over undici.
 *
 * @packageDocumentation
 */

import { asError, HarrierhitchError } from "@harrierhitch/core";
import type { AttemptEnd, AttemptResult } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AnswerSink, Attempt } from "./upstream-transport.js";

/** This side gave up on an attempt. */
export class AttemptCancelledError extends HarrierhitchError {
    readonly code = "attempt-cancelled";

    /** @param end - How the attempt ends. */
    constructor(readonly end: "timed-out" | "cancelled") {
        super(`the attempt was given up: ${end}`);
    }
}

/** Codes of undici's errors for answers that break the rules of HTTP. */
const garbledCodes: ReadonlySet<string> = new Set([
    "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    "UND_ERR_HEADERS_OVERFLOW",
]);

/** An {@link Attempt} that is also the handler of undici's dispatch. */
export class UndiciAttempt implements Attempt, Dispatcher.DispatchHandler {
    readonly result: Promise<AttemptResult>;
    private settle: (result: AttemptResult) => void = () => undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private cancelled: AttemptCancelledError | undefined;
    private sent = false;
    private finished = false;
    private status: number | undefined;

    /** @param sink - Takes the answer. */
    constructor(private readonly sink: AnswerSink) {
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.cancelled ??= new AttemptCancelledError(end);
        if (this.controller === undefined) {
            // Nothing was sent yet: undici still waits for a connection, and gives up in onRequestStart.
            this.finish(end, this.cancelled.message);
        }
        else {
            this.controller.abort(this.cancelled);
        }
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.cancelled === undefined && !this.sent) {
            this.sent = true;
        }
        else {
            // Cancelled while it waited; or the library would send it again by itself, which only the task may decide.
            controller.abort(this.cancelled ?? new AttemptCancelledError("cancelled"));
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (status < 200 || this.finished) {
            return;
        }
        this.status = status;
        if (!this.sink.onHead(status, headers)) {
            this.cancelled ??= new AttemptCancelledError("cancelled");
            controller.abort(this.cancelled);
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (!this.finished && !this.sink.onData(chunk)) {
            controller.pause();
        }
    }

    onResponseEnd(): void {
        this.finish("answered", "");
    }

    onResponseError(_: unknown, error: Error): void {
        this.finish(this.cancelled?.end ?? this.endOf(error), describe(error));
    }

    private endOf(error: Error): AttemptEnd {
        if (!this.sent) {
            return "connect-failed";
        }
        const code = codeOf(error);
        return garbledCodes.has(code) || error.name === "HTTPParserError" ? "garbled" : "reset";
    }

    private finish(end: AttemptEnd, detail: string): void {
        this.finished = true;
        this.settle({ end, status: this.status, detail, sent: this.sent });
    }
}

const codeOf = (error: Error): string => "code" in error ? String(error.code) : "";

const describe = (thrown: Error): string => {
    const error = asError(thrown);
    const code = codeOf(error);
    return code === "" ? error.message : `${code}: ${error.message}`;
};
