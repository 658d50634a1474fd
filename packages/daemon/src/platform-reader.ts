/**
 * Following the platform, by the instances whose turn it is.
 *
 * @packageDocumentation
 */

import { asError, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import type { Platform, PlatformValue } from "./platform.js";

/** Options of {@link PlatformReader}. */
export interface PlatformReaderOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly key: string;
    /** Time between two tries while the service is down. */
    readonly retryMs: () => number;
    /** Whether it is this instance's turn to read. */
    readonly isReader: () => boolean;
    /** Told of each value. */
    readonly onValue: (value: PlatformValue) => void;
    /** Told of each answer, also that nothing changed. */
    readonly onAnswer: () => void;
    /** Told of each failure. */
    readonly onFailure: (error: Error) => void;
}

/** Shortest time between two calls, should the service answer its watches at once. */
const minimumIntervalMs = 50;

/** Time between two looks at whose turn it is. */
const turnMs = 250;

/**
 * Reads a key once, then watches it whenever it is this instance's turn. One
 * task for each key; failures are told and tried again, they never end it.
 */
export class PlatformReader {
    private readonly ending = new AbortController();
    private known: PlatformValue | undefined;

    /** @param options - The platform and what to do with its answers. */
    constructor(private readonly options: PlatformReaderOptions) {}

    /** Begins to follow. */
    start(): void {
        void this.follow();
    }

    /** Ends following. */
    stop(): void {
        this.ending.abort();
    }

    private async follow(): Promise<void> {
        const { clock, isReader } = this.options;
        const { signal } = this.ending;
        while (!isAborted(signal)) {
            if (this.known !== undefined && !isReader()) {
                await sleep(clock, turnMs, signal);
                continue;
            }
            const nextCallAtMs = clock.nowMs() + minimumIntervalMs;
            await this.callOnce(signal);
            await sleep(clock, nextCallAtMs - clock.nowMs(), signal);
        }
    }

    private async callOnce(signal: AbortSignal): Promise<void> {
        const { platform, key, clock, random, onAnswer, onFailure, onValue, retryMs } = this.options;
        try {
            const value = this.known === undefined
                ? await platform.read(key, signal)
                : await platform.watch(key, this.known.version, signal);
            onAnswer();
            if (value !== undefined) {
                this.known = value;
                onValue(value);
            }
        }
        catch (thrown) {
            if (!isAborted(signal)) {
                onFailure(asError(thrown));
                await sleep(clock, retryMs() * (0.5 + random.next()), signal);
            }
        }
    }
}

/** Read through a function, because the compiler takes the loop's condition for granted. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
