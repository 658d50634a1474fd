/**
 * Reads from the platform in place of large documents from other instances.
 *
 * @packageDocumentation
 */

/**
 * The reads of one instance. A large document takes longer over the links of readers and relays, which each send it many times,
 * than from the platform to all instances at once. Each generation is read directly once; then other instances send it.
 */
export class DirectReads {
    private pending = 0;
    /** The latest generation that was requested and whose read has ended, with or without success. */
    private ended = 0;

    /** @param mayRead - Whether this instance needs published changes and is able to read the platform. */
    constructor(private readonly mayRead: () => boolean) {}

    /** The generation that is to be read now, or is being read; 0 if there is none. */
    get pendingGeneration(): number {
        return this.pending;
    }

    /**
     * Whether other instances need not send large documents.
     *
     * @param generation - The active generation; 0 without one.
     */
    isOffered(generation: number): boolean {
        return generation >= this.ended && this.mayRead();
    }

    /** Requests the read of a generation that another instance has. */
    request(generation: number): void {
        if (generation > Math.max(this.ended, this.pending)) {
            this.pending = generation;
        }
    }

    /** Records that a call to the platform has ended, with or without success. */
    end(): void {
        this.ended = Math.max(this.ended, this.pending);
        this.pending = 0;
    }
}
