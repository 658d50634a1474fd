/**
 * The task that follows one key of the platform.
 *
 * @packageDocumentation
 */

import { asError, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import type { Platform, PlatformValue } from "./platform.js";

/** Options of {@link watchKey}. */
export interface WatchOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    /** Time between two tries while the service is down. */
    readonly retryMs: number;
    /** Ends the task. */
    readonly signal: AbortSignal;
    /** Told of each value. */
    readonly onValue: (value: PlatformValue) => void;
    /** Told of each answer, also that nothing changed. */
    readonly onAnswer: () => void;
    /** Told of each failure. */
    readonly onFailure: (error: Error) => void;
}

/** Shortest time between two calls, should the service answer its watches at once. */
const minimumIntervalMs = 50;

/**
 * Reads a key, then watches it, for as long as the signal allows. Failures are
 * told and tried again; they never end the task.
 */
export const watchKey = async (options: WatchOptions): Promise<void> => {
    const { platform, clock, random, key, retryMs, signal } = options;
    let known: PlatformValue | undefined;
    while (!signal.aborted) {
        const nextCallAtMs = clock.nowMs() + minimumIntervalMs;
        try {
            const value = known === undefined
                ? await platform.read(key, signal)
                : await platform.watch(key, known.version, signal);
            options.onAnswer();
            if (value !== undefined) {
                known = value;
                options.onValue(value);
            }
            await sleep(clock, nextCallAtMs - clock.nowMs(), signal);
        }
        catch (thrown) {
            if (!isAborted(signal)) {
                options.onFailure(asError(thrown));
                await sleep(clock, retryMs * (0.5 + random.next()), signal);
            }
        }
    }
};

/** Read through a function, because the compiler takes the loop's condition for granted. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
