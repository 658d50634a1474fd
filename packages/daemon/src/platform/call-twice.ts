/**
 * A second call in case the first one gets no response.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Options of {@link callTwice}. */
export interface CallTwiceOptions<Result> {
    readonly clock: Clock;
    /** Cancels both calls. */
    readonly signal: AbortSignal;
    /** Time after which the second call is made, in milliseconds. */
    readonly delayMs: number;
    /** Time after which the second call counts as failed if the first one has, in milliseconds. */
    readonly secondTimeoutMs: number;
    /** Whether the second call is to be made at that time. */
    readonly isDue: () => boolean;
    readonly first: (signal: AbortSignal) => Promise<Result>;
    readonly second: (signal: AbortSignal) => Promise<Result>;
}

/**
 * Makes a call, and a second one if the first has not ended after some time. The other call is cancelled once one has succeeded.
 *
 * @param options - The calls.
 * @returns The result of the call that succeeds first.
 * @throws The error of the call that failed first, once no call is left.
 */
export const callTwice = <Result>(options: CallTwiceOptions<Result>): Promise<Result> =>
    new Promise((resolve, reject) => {
        const { clock, signal, delayMs, secondTimeoutMs, isDue, first, second } = options;
        const controller = new AbortController();
        const errors: unknown[] = [];
        let calls = 0;
        let isSecondOver = false;
        const abort = (): void => controller.abort();
        const end = (): void => {
            timer.cancel();
            signal.removeEventListener("abort", abort);
            abort();
        };
        const failIfOver = (): void => {
            if (errors.length === calls || isSecondOver && errors.length > 0) {
                end();
                // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- the calls' own error, unchanged
                reject(errors[0]);
            }
        };
        const start = (call: (signal: AbortSignal) => Promise<Result>): void => {
            calls += 1;
            call(controller.signal).then(
                result => {
                    end();
                    resolve(result);
                },
                (error: unknown) => {
                    errors.push(error);
                    failIfOver();
                },
            );
        };
        let timer = clock.after(delayMs, () => {
            if (isDue()) {
                start(second);
                timer = clock.after(secondTimeoutMs, () => {
                    isSecondOver = true;
                    failIfOver();
                });
            }
        });
        signal.addEventListener("abort", abort, { once: true });
        start(first);
    });
