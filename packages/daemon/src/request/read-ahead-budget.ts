/**
 * Limits the memory for bodies that are read before they can be sent.
 *
 * @packageDocumentation
 */

/** Memory for all bodies that are read ahead, in bytes. */
const maximumTotalBytes = 16_777_216;

/** Memory for one body, in bytes. */
const maximumBodyBytes = 1_048_576;

/** Memory that a body gets although the total is used up, in bytes. */
const minimumBodyBytes = 16_384;

/** Divides the memory between bodies. */
export class ReadAheadBudget {
    private reservedBytes = 0;

    /**
     * Reserves memory for a body.
     *
     * @returns The number of bytes; to be released when the body has ended.
     */
    reserve(): number {
        const bytes = Math.max(minimumBodyBytes, Math.min(maximumBodyBytes, maximumTotalBytes - this.reservedBytes));
        this.reservedBytes += bytes;
        return bytes;
    }

    release(bytes: number): void {
        this.reservedBytes -= bytes;
    }
}
