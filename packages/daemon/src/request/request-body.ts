/**
 * The body of a caller's request: buffered if it is small, streamed otherwise.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/** Thrown when a body exceeds the maximum size. */
export class BodyTooLargeError extends HarrierhitchError {
    readonly code = "body-too-large";

    /** @param maximumBytes - The maximum size. */
    constructor(readonly maximumBytes: number) {
        super(`the request body has more than ${maximumBytes} bytes`);
    }
}

/** Thrown when the caller disconnects before the body is complete. */
export class BodyCutShortError extends HarrierhitchError {
    readonly code = "body-cut-short";

    constructor() {
        super("the caller left before the request body was complete");
    }
}

/** A request body that can be sent to an upstream. */
export interface RequestBody {
    /** Whether the body can be sent again after a failed attempt. */
    readonly canReplay: boolean;
    /** The complete body, if it is buffered. */
    readonly buffered: Buffer | undefined;
    /** Returns the body for the next attempt; `undefined` for a request without a body. */
    open(): Buffer | Readable | undefined;
}

export interface BodyLimits {
    readonly maximumBytes: number;
    /** Maximum size of a body that is buffered so that it can be sent again. */
    readonly replayBytes: number;
}

const emptyBody: RequestBody = { canReplay: true, buffered: undefined, open: () => undefined };

export const hasBody = (request: IncomingMessage): boolean =>
    request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;

/**
 * Reads a request's body, or prepares to stream it.
 *
 * @param request - The request.
 * @param limits - Limits of bodies.
 * @throws {@link BodyTooLargeError} or {@link BodyCutShortError}, before anything was sent to an upstream.
 */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<RequestBody> => {
    if (!hasBody(request)) {
        return emptyBody;
    }
    const length = request.headers["content-length"];
    if (length !== undefined && Number(length) > limits.maximumBytes) {
        throw new BodyTooLargeError(limits.maximumBytes);
    }
    if (length !== undefined && Number(length) <= limits.replayBytes) {
        const buffered = await readBuffered(request);
        return { canReplay: true, buffered, open: () => buffered };
    }
    return new StreamedBody(request, limits.maximumBytes);
};

const readBuffered = (request: IncomingMessage): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.once("end", () => resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)));
        request.once("close", () => reject(new BodyCutShortError()));
    });

/** A body that is streamed with bounded memory and can be sent only once. */
class StreamedBody implements RequestBody {
    readonly buffered = undefined;
    private opened = false;

    constructor(private readonly request: IncomingMessage, private readonly maximumBytes: number) {}

    get canReplay(): boolean {
        return !this.opened;
    }

    open(): Readable {
        const stream = new ForwardedBody(this.request, this.maximumBytes, () => {
            this.opened = true;
        });
        return stream;
    }
}

/** Reads from the caller's request without destroying it, so that a response can still be sent. */
class ForwardedBody extends Readable {
    private bytes = 0;
    private attached = false;

    constructor(
        private readonly request: IncomingMessage,
        private readonly maximumBytes: number,
        private readonly onFirstRead: () => void,
    ) {
        super();
    }

    override _read(): void {
        if (!this.attached) {
            this.attach();
        }
        this.request.resume();
    }

    override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
        this.request.off("data", this.onData).off("end", this.onEnd).off("close", this.onClose);
        callback(error);
    }

    private attach(): void {
        this.attached = true;
        this.onFirstRead();
        this.request.on("data", this.onData).on("end", this.onEnd).on("close", this.onClose);
    }

    private readonly onData = (chunk: Buffer): void => {
        this.bytes += chunk.length;
        if (this.bytes > this.maximumBytes) {
            this.destroy(new BodyTooLargeError(this.maximumBytes));
        }
        else if (!this.push(chunk)) {
            this.request.pause();
        }
    };

    private readonly onEnd = (): void => {
        this.push(null);
    };

    private readonly onClose = (): void => {
        if (!this.request.complete) {
            this.destroy(new BodyCutShortError());
        }
    };
}
