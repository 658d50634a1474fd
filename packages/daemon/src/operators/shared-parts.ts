/**
 * The parts that several decision records refer to.
 *
 * @packageDocumentation
 */

import type { SharedPart } from "./estimate-bytes.js";

/** Counts the memory of each part once, for as long as a record refers to it. */
export class SharedParts {
    private readonly references = new Map<object, number>();
    private totalBytes = 0;

    /** Estimated memory of all parts, in bytes. */
    get bytes(): number {
        return this.totalBytes;
    }

    /** Adds a reference to each part. */
    add(parts: readonly SharedPart[]): void {
        parts.forEach(({ part, bytes }) => {
            const count = this.references.get(part) ?? 0;
            this.references.set(part, count + 1);
            this.totalBytes += count === 0 ? bytes : 0;
        });
    }

    /** Removes a reference to each part. */
    remove(parts: readonly SharedPart[]): void {
        parts.forEach(({ part, bytes }) => {
            const count = this.references.get(part) ?? 0;
            if (count > 1) {
                this.references.set(part, count - 1);
            }
            else if (this.references.delete(part)) {
                this.totalBytes -= bytes;
            }
        });
    }
}
