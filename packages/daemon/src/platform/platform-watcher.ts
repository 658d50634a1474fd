/**
 * This instance's part in following the platform.
 *
 * @packageDocumentation
 */

import { asError, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import { HistoryLostError, type Platform, type Publication } from "./platform.js";

/** What a publication is: everything, perhaps from a few seconds ago; everything as of now; or what changed until now. */
export type PublicationKind = "stale" | "whole" | "changes";

/** Options of {@link PlatformWatcher}. */
export interface PlatformWatcherOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Time between two tries while the platform is down. */
    readonly retryMs: () => number;
    /** Milliseconds until the platform has to be asked; 0 for now. */
    readonly dueInMs: () => number;
    /** Longest time to wait for a change in one call. */
    readonly watchMs: () => number;
    /** Shortest time between two calls, so that changes that come together cost one call. */
    readonly batchMs: number;
    /** The revision up to which this instance knows everything, from whatever source. */
    readonly appliedRevision: () => number;
    /** Takes what a read or a watch told; `asOfMs` is the moment up to which it tells everything. */
    readonly onPublication: (publication: Publication, kind: PublicationKind, asOfMs: number) => void;
    /** Asked, before an answer is taken in, to look whether this process slept while it was on its way. */
    readonly checkForStall: () => void;
    /** Told when the platform failed after it had answered, or at the first call. */
    readonly onLost: (error: Error) => void;
    /** Told when the platform answers again. */
    readonly onRecovered: () => void;
}

/** Longest time between two looks at whose turn it is. */
const turnMs = 250;

/** Shortest one: a moment that rounding puts a billionth of a millisecond ahead would be looked at without end. */
const shortestTurnMs = 1;

/**
 * Reads the platform once, then watches it whenever it is this instance's turn.
 * Failures are told and tried again, they never end it.
 */
export class PlatformWatcher {
    private readonly ending = new AbortController();
    private answeredAtMs: number | undefined;
    private hasRead = false;
    private failuresInRow = 0;
    private sleptAtMs = -Infinity;
    /** After a gap in the history only a fresh read tells what went away meanwhile. */
    private mustBeFresh = false;

    /** @param options - The platform and what to do with its answers. */
    constructor(private readonly options: PlatformWatcherOptions) {}

    /** Milliseconds since the platform last answered; negative if it never did. */
    get lastResponseAgeMs(): number {
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

    /** Notes that this process slept until now. */
    recordStall(): void {
        this.sleptAtMs = this.options.clock.nowMs();
    }

    private async follow(): Promise<void> {
        const { clock, dueInMs, batchMs } = this.options;
        const { signal } = this.ending;
        while (!isAborted(signal)) {
            const waitMs = dueInMs();
            if (waitMs > 0) {
                await sleep(clock, Math.max(shortestTurnMs, Math.min(waitMs, turnMs)), signal);
                continue;
            }
            const nextCallAtMs = clock.nowMs() + batchMs;
            await this.callOnce(signal);
            await sleep(clock, nextCallAtMs - clock.nowMs(), signal);
        }
    }

    private async callOnce(signal: AbortSignal): Promise<void> {
        const { clock, random, retryMs, onPublication, checkForStall: lookForSleep } = this.options;
        const kind = this.nextKind();
        const askedAtMs = clock.nowMs();
        try {
            const publication = await this.call(kind, signal);
            this.hasRead = true;
            this.mustBeFresh = false;
            this.onAnswer();
            lookForSleep();
            // The answer may have lain here while the process slept: it tells no more than that it is younger than the question.
            onPublication(publication, kind, this.sleptAtMs >= askedAtMs ? askedAtMs : clock.nowMs());
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

    private nextKind(): PublicationKind {
        if (this.mustBeFresh) {
            return "whole";
        }
        return this.hasRead || this.options.appliedRevision() > 0 ? "changes" : "stale";
    }

    private async call(kind: PublicationKind, signal: AbortSignal): Promise<Publication> {
        const { platform, appliedRevision: knownRevision, watchMs } = this.options;
        if (kind !== "changes") {
            return platform.read(signal, kind === "stale");
        }
        const revision = knownRevision();
        // While the platform fails, short calls notice its return at once.
        const publication = await platform.watch(revision, signal, this.failuresInRow === 0 ? watchMs() : 0);
        const { listings, zones, configuration } = publication;
        const isEmpty = listings.length === 0 && zones.length === 0 && configuration === undefined;
        // A platform that loses its history may be deaf for a moment before: what it did not tell is asked for again.
        return isEmpty ? { ...publication, revision } : publication;
    }

    private onAnswer(): void {
        this.answeredAtMs = this.options.clock.nowMs();
        if (this.failuresInRow > 0) {
            this.failuresInRow = 0;
            this.options.onRecovered();
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
