/**
 * This instance's part in following the platform.
 *
 * @packageDocumentation
 */

import { asError, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import { HistoryLostError, type Platform, type Publication } from "./platform.js";

/** Options of {@link PlatformFollower}. */
export interface PlatformFollowerOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Time between two tries while the platform is down. */
    readonly retryMs: () => number;
    /** Whether it is this instance's turn to watch. */
    readonly isReader: () => boolean;
    /** The revision up to which this instance knows everything, from whatever source. */
    readonly knownRevision: () => number;
    /** Takes what a read or a watch told. */
    readonly onPublication: (publication: Publication, isWhole: boolean) => void;
    /** Told when the platform failed after it had answered, or at the first call. */
    readonly onLost: (error: Error) => void;
    /** Told when the platform answers again. */
    readonly onRegained: () => void;
}

/** Shortest time between two calls, so that changes that come together cost one call; well below the two seconds in which a drain or a configuration has to be known. */
const minimumIntervalMs = 400;

/** Time between two looks at whose turn it is. */
const turnMs = 250;

/**
 * Reads the platform once, then watches it whenever it is this instance's turn.
 * Failures are told and tried again, they never end it.
 */
export class PlatformFollower {
    private readonly ending = new AbortController();
    private answeredAtMs: number | undefined;
    private hasRead = false;
    private failuresInRow = 0;
    /** After a gap in the history only a fresh read tells what went away meanwhile. */
    private mustBeFresh = false;

    /** @param options - The platform and what to do with its answers. */
    constructor(private readonly options: PlatformFollowerOptions) {}

    /** Milliseconds since the platform last answered; negative if it never did. */
    get ageMs(): number {
        return this.answeredAtMs === undefined ? -1 : this.options.clock.nowMs() - this.answeredAtMs;
    }

    /** Begins to follow. */
    start(): void {
        void this.follow();
    }

    /** Ends following. */
    stop(): void {
        this.ending.abort();
    }

    private async follow(): Promise<void> {
        const { clock, isReader, knownRevision } = this.options;
        const { signal } = this.ending;
        while (!isAborted(signal)) {
            if (knownRevision() > 0 && !isReader()) {
                await sleep(clock, turnMs, signal);
                continue;
            }
            const nextCallAtMs = clock.nowMs() + minimumIntervalMs;
            await this.callOnce(signal);
            await sleep(clock, nextCallAtMs - clock.nowMs(), signal);
        }
    }

    private async callOnce(signal: AbortSignal): Promise<void> {
        const { clock, random, retryMs, onPublication } = this.options;
        const isWhole = !this.hasRead || this.mustBeFresh;
        try {
            const publication = await this.call(isWhole, signal);
            this.hasRead = true;
            this.mustBeFresh = false;
            this.onAnswer();
            onPublication(publication, isWhole);
        }
        catch (thrown) {
            if (isAborted(signal)) {
                return;
            }
            if (thrown instanceof HistoryLostError) {
                this.mustBeFresh = true;
                return;
            }
            this.onFailure(asError(thrown));
            await sleep(clock, retryMs() * (0.5 + random.next()), signal);
        }
    }

    private call(isWhole: boolean, signal: AbortSignal): Promise<Publication> {
        const { platform, knownRevision } = this.options;
        // While the platform fails, short calls notice its return at once.
        const waits = this.failuresInRow === 0;
        return isWhole ? platform.read(signal, !this.mustBeFresh) : platform.watch(knownRevision(), signal, waits);
    }

    private onAnswer(): void {
        this.answeredAtMs = this.options.clock.nowMs();
        if (this.failuresInRow > 0) {
            this.failuresInRow = 0;
            this.options.onRegained();
        }
    }

    private onFailure(error: Error): void {
        this.failuresInRow += 1;
        if (this.failuresInRow === 1) {
            this.options.onLost(error);
        }
    }
}

/** Read through a function, because the compiler takes the loop's condition for granted. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
