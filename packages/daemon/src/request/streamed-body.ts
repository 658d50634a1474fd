/**
 * A request body that is streamed with bounded memory and can be sent only once.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { BodyCutShortError, BodyTooLargeError } from "./body-error.js";
import type { CallerConnection } from "./caller-connection.js";
import type { ReadAheadBudget } from "./read-ahead-budget.js";
import type { RequestBody } from "./request-body.js";

/** Options of {@link StreamedBody}. */
export interface StreamedBodyOptions {
    readonly request: IncomingMessage;
    readonly maximumBytes: number;
    readonly budget: ReadAheadBudget;
    readonly connection: CallerConnection;
}

/** A body that is read ahead as far as the memory budget allows, and streamed. */
export class StreamedBody implements RequestBody {
    readonly buffered = undefined;
    private readonly received: ReceivedBody;
    private opened = false;

    /** @param options - The request and its limits. */
    constructor(private readonly options: StreamedBodyOptions) {
        this.received = new ReceivedBody(options);
    }

    get canReplay(): boolean {
        return !this.opened;
    }

    open(): Readable {
        return new ForwardedBody(this.received, this.options.maximumBytes, () => {
            this.opened = true;
        });
    }
}

/**
 * Reads a body from the caller whether or not it can be sent yet: the close of a connection can only be noticed when all data
 * before it has been read. It never destroys the request, so that a response can still be sent.
 */
class ReceivedBody extends Readable {
    private readonly request: IncomingMessage;
    private readonly connection: CallerConnection;

    constructor({ request, connection, budget }: StreamedBodyOptions) {
        const reservedBytes = budget.reserve();
        super({ highWaterMark: reservedBytes });
        this.request = request;
        this.connection = connection;
        request.on("data", (chunk: Buffer) => this.push(chunk) ? undefined : this.pauseRequest());
        request.once("end", () => connection.recordResumed("body"));
        request.once("end", () => this.push(null));
        request.once("close", () => request.complete ? undefined : this.destroy());
        this.once("close", () => budget.release(reservedBytes));
    }

    override _read(): void {
        this.connection.recordResumed("body");
        this.request.resume();
    }

    private pauseRequest(): void {
        this.connection.recordPaused("body");
        this.request.pause();
    }
}

/** Forwards a received body to one attempt. */
class ForwardedBody extends Readable {
    private bytes = 0;
    private attached = false;

    constructor(
        private readonly received: ReceivedBody,
        private readonly maximumBytes: number,
        private readonly onFirstRead: () => void,
    ) {
        super();
    }

    override _read(): void {
        if (!this.attached) {
            this.attach();
        }
        this.received.resume();
    }

    override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
        this.received.off("data", this.onData).off("end", this.onEnd).off("close", this.onClose);
        callback(error);
    }

    private attach(): void {
        this.attached = true;
        this.onFirstRead();
        this.received.on("data", this.onData).on("end", this.onEnd).on("close", this.onClose);
        if (this.received.destroyed) {
            this.onClose();
        }
    }

    private readonly onData = (chunk: Buffer): void => {
        this.bytes += chunk.length;
        if (this.bytes > this.maximumBytes) {
            this.destroy(new BodyTooLargeError(this.maximumBytes));
        }
        else if (!this.push(chunk)) {
            this.received.pause();
        }
    };

    private readonly onEnd = (): void => {
        this.push(null);
    };

    private readonly onClose = (): void => {
        if (!this.received.readableEnded) {
            this.destroy(new BodyCutShortError());
        }
    };
}
