/**
 * Memory for reading a connection beyond its share.
 *
 * @packageDocumentation
 */

/** Longest wait for the reserve, in milliseconds. */
const maximumWaitMs = 250;

/** Lets one connection at a time hold more than its share, in the order of their requests. */
export class ReadingReserve {
    /** Size of the reserve in bytes; more than a kernel buffers for one connection. */
    static readonly bytes = 8_388_608;
    private holder: object | undefined;
    private readonly waiting = new Set<() => void>();

    /**
     * Takes the reserve, or waits until it is given back.
     *
     * @param holder - Who takes it.
     * @returns Whether it was taken; otherwise others have held it for too long.
     */
    take(holder: object): Promise<boolean> {
        if (this.holder === undefined || this.holder === holder) {
            this.holder = holder;
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const proceed = (): void => {
                clearTimeout(timer);
                this.waiting.delete(proceed);
                this.holder = holder;
                resolve(true);
            };
            const timer = setTimeout(() => {
                this.waiting.delete(proceed);
                resolve(false);
            }, maximumWaitMs);
            this.waiting.add(proceed);
        });
    }

    /** Gives the reserve back, if it was taken by this holder. */
    giveBack(holder: object): void {
        if (this.holder === holder) {
            this.holder = undefined;
            const [next] = this.waiting;
            next?.();
        }
    }
}
