/**
 * Limits how many pipelined requests of a connection are served at the same time.
 *
 * @packageDocumentation
 */

/** Most requests of a connection that are served at the same time; later ones wait. */
const maximumServedRequests = 64;

/** Counts the requests of one connection, and lets them wait for earlier ones. */
export class RequestTurns {
    private open = 0;
    private finished = 0;
    /** Starts requests that wait, by the number of requests that must have finished. */
    private readonly waiting: { readonly after: number; readonly start: () => void; }[] = [];

    /** Number of requests without a complete response. */
    get openRequests(): number {
        return this.open;
    }

    /** Whether any request has had its complete response. */
    get hasFinished(): boolean {
        return this.finished > 0;
    }

    begin(): void {
        this.open += 1;
    }

    finish(): void {
        this.open -= 1;
        this.finished += 1;
        while (this.waiting[0] !== undefined && this.waiting[0].after <= this.finished) {
            this.waiting.shift()?.start();
        }
    }

    /**
     * Waits until few enough earlier requests have no complete response.
     *
     * @param ahead - The number of these when the request arrived.
     * @returns `undefined` if it need not wait.
     */
    wait(ahead: number): Promise<void> | undefined {
        if (ahead < maximumServedRequests) {
            return undefined;
        }
        const after = this.finished + ahead - maximumServedRequests + 1;
        return new Promise(start => {
            this.waiting.push({ after, start });
        });
    }

    /** Ends all waits, since the caller has left. */
    releaseAll(): void {
        this.waiting.splice(0).forEach(({ start }) => start());
    }
}
