/**
 * The body of a caller's request: kept whole when it is small, streamed otherwise.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/** The body has more bytes than are allowed. */
export class BodyTooLargeError extends HarrierhitchError {
    readonly code = "body-too-large";

    /** @param maximumBytes - The limit. */
    constructor(readonly maximumBytes: number) {
        super(`the request body has more than ${maximumBytes} bytes`);
    }
}

/** The caller left before it had sent its whole body. */
export class BodyCutShortError extends HarrierhitchError {
    readonly code = "body-cut-short";

    constructor() {
        super("the caller left before the request body was complete");
    }
}

/** A request's body, ready to be sent. */
export interface RequestBody {
    /** Whether it can be sent again after a failed attempt. */
    readonly canReplay: boolean;
    /** The whole body, when it is kept. */
    readonly whole: Buffer | undefined;
    /** The body for the next attempt; `undefined` when there is none. */
    open(): Buffer | Readable | undefined;
}

/** Limits of bodies. */
export interface BodyLimits {
    /** Largest body. */
    readonly maximumBytes: number;
    /** Largest body that is kept for sending it again. */
    readonly replayBytes: number;
}

const noBody: RequestBody = { canReplay: true, whole: undefined, open: () => undefined };

/** Whether a request has a body. */
export const hasBody = (request: IncomingMessage): boolean =>
    request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;

/**
 * Takes a request's body.
 *
 * @param request - The request.
 * @param limits - Limits of bodies.
 * @throws {@link BodyTooLargeError} or {@link BodyCutShortError}, both before anything was sent.
 */
export const takeBody = async (request: IncomingMessage, limits: BodyLimits): Promise<RequestBody> => {
    if (!hasBody(request)) {
        return noBody;
    }
    const length = request.headers["content-length"];
    if (length !== undefined && Number(length) > limits.maximumBytes) {
        throw new BodyTooLargeError(limits.maximumBytes);
    }
    if (length !== undefined && Number(length) <= limits.replayBytes) {
        const whole = await readWhole(request);
        return { canReplay: true, whole, open: () => whole };
    }
    return new StreamedBody(request, limits.maximumBytes);
};

const readWhole = (request: IncomingMessage): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.once("end", () => resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)));
        request.once("close", () => reject(new BodyCutShortError()));
    });

/** A body that passes through with bounded memory and can be sent once. */
class StreamedBody implements RequestBody {
    readonly whole = undefined;
    private opened = false;

    constructor(private readonly request: IncomingMessage, private readonly maximumBytes: number) {}

    get canReplay(): boolean {
        return !this.opened;
    }

    open(): Readable {
        const stream = new PassedBody(this.request, this.maximumBytes, () => {
            this.opened = true;
        });
        return stream;
    }
}

/** Reads from the caller's request without ever destroying it, so that it can still be answered. */
class PassedBody extends Readable {
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
