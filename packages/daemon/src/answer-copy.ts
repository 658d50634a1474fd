/**
 * A copy of the answer of a keyed request, for whoever repeats it.
 *
 * @packageDocumentation
 */

import type { KeptAnswer } from "@harrierhitch/fleet";
import type { OutgoingHttpHeaders } from "node:http";

/** Largest body that is copied. */
const maximumBytes = 262_144;

/** Gathers an answer as it is passed on. */
export class AnswerCopy {
    private status = 0;
    private headers: readonly (readonly [string, string])[] = [];
    private chunks: Buffer[] = [];
    private bytes = 0;

    /** Takes the head. */
    begin(status: number, headers: OutgoingHttpHeaders): void {
        this.status = status;
        this.headers = Object.entries(headers).flatMap(([name, value]) =>
            (Array.isArray(value) ? value : [value]).flatMap(part => part === undefined ? [] : [[name, String(part)] as const])
        );
    }

    /** Takes a part of the body. */
    add(chunk: Buffer): void {
        this.bytes += chunk.length;
        if (this.bytes <= maximumBytes) {
            this.chunks.push(chunk);
        }
        else {
            this.chunks = [];
        }
    }

    /** The whole answer; `undefined` when there is none or it was too large. */
    get answer(): KeptAnswer | undefined {
        return this.status === 0 || this.bytes > maximumBytes
            ? undefined
            : { status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) };
    }
}
