/**
 * A request body that is streamed with bounded memory and can be sent only once.
 *
 * @packageDocumentation
 */

import { Readable } from "node:stream";
import { BodyCutShortError, BodyTooLargeError } from "./body-error.js";
import type { ReceivedBody } from "./received-body.js";
import type { RequestBody } from "./request-body.js";

/** A body that is read ahead as far as the memory of its connection allows, and streamed. */
export class StreamedBody implements RequestBody {
    readonly buffered = undefined;
    readonly canShare = false;
    private opened = false;

    /**
     * @param received - What arrives of the body.
     * @param maximumBytes - Maximum size of the body.
     */
    constructor(private readonly received: ReceivedBody, private readonly maximumBytes: number) {}

    get canReplay(): boolean {
        return !this.opened;
    }

    open(): Readable {
        return new ForwardedBody(this.received, this.maximumBytes, () => {
            this.opened = true;
        });
    }
}

/** Forwards a received body to one attempt. */
class ForwardedBody extends Readable {
    private bytes = 0;
    private attached = false;
    private wantsData = false;
    private isEnded = false;

    constructor(
        private readonly received: ReceivedBody,
        private readonly maximumBytes: number,
        private readonly onFirstRead: () => void,
    ) {
        super();
    }

    override _read(): void {
        if (!this.attached) {
            this.attached = true;
            this.onFirstRead();
            this.received.onChange(() => this.forward());
        }
        this.wantsData = true;
        this.forward();
    }

    private forward(): void {
        if (this.received.isDiscarded && !this.isEnded) {
            this.destroy(new BodyCutShortError());
        }
        while (this.wantsData && !this.destroyed) {
            const chunk = this.received.take();
            if (chunk === undefined) {
                this.forwardEnd();
                return;
            }
            this.bytes += chunk.length;
            if (this.bytes > this.maximumBytes) {
                this.destroy(new BodyTooLargeError(this.maximumBytes));
                return;
            }
            this.wantsData = this.push(chunk);
        }
    }

    private forwardEnd(): void {
        if (this.received.isComplete) {
            this.wantsData = false;
            this.isEnded = true;
            this.push(null);
        }
        else if (this.received.isCutShort) {
            this.destroy(new BodyCutShortError());
        }
    }
}
