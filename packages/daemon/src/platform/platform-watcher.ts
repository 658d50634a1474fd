/**
 * Reads and watches the platform.
 *
 * @packageDocumentation
 */

import { asError, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import { CallProgress } from "./call-progress.js";
import {
    HistoryLostError,
    OversizedPublicationError,
    type Platform,
    type Publication,
    UnusablePublicationError,
} from "./platform.js";

/** Kind of a publication: a snapshot that may be a few seconds old, a current snapshot, or the changes since a revision. */
export type PublicationKind = "stale-snapshot" | "snapshot" | "changes";

/** Options of {@link PlatformWatcher}. */
export interface PlatformWatcherOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Delay before a retry while the platform is unavailable, in milliseconds. */
    readonly retryMs: () => number;
    /** Milliseconds until the next call to the platform is due; 0 if it is due now. */
    readonly dueInMs: () => number;
    /** Longest duration of a long poll, in milliseconds. */
    readonly longPollMs: () => number;
    /** Minimum interval between calls, in milliseconds, so that changes in quick succession are fetched together. */
    readonly batchMs: number;
    /** Revision up to which all changes have been applied, whatever their source. */
    readonly appliedRevision: () => number;
    /** Receives the result of a call; it is complete as of `asOfMs`. */
    readonly onPublication: (publication: Publication, kind: PublicationKind, asOfMs: number) => void;
    /** Called before a response is applied, and when a call has failed, to detect a stall meanwhile. */
    readonly checkForStall: () => void;
    /** Called when a result was applied, or a call failed. */
    readonly onCallEnd: () => void;
    /** Called when the platform has failed after a success, or at the first call. */
    readonly onUnavailable: (error: Error) => void;
    /** Called when the changes since a revision cannot be used, so that the current state is read in their place. */
    readonly onUnusableChanges: (error: Error, revision: number) => void;
    /** Called when the platform responds again. */
    readonly onRecovered: () => void;
}

/** Longest interval between checks whether a call is due, in milliseconds. */
const maximumCheckIntervalMs = 250;

/** Shortest interval between such checks, in milliseconds; avoids a busy loop when rounding leaves a tiny delay. */
const minimumCheckIntervalMs = 1;

/** Reads the platform once, then watches it whenever a call is due. Failed calls are reported and retried. */
export class PlatformWatcher {
    private readonly stopping = new AbortController();
    private respondedAtMs: number | undefined;
    /** The call in progress, and how long calls take. */
    readonly progress: CallProgress;
    private hasRead = false;
    private consecutiveFailures = 0;
    private stalledAtMs = -Infinity;
    /** Whether a call was repeated because of a stall since the platform's last response. */
    private hasRepeated = false;
    /** Whether the next call must be a current read, because removals may be missing from the history. */
    private needsCurrentRead = false;
    /** Revision of the last watch, if its response could not be used. */
    private unusableRevision: number | undefined;

    /** @param options - The platform and callbacks. */
    constructor(private readonly options: PlatformWatcherOptions) {
        this.progress = new CallProgress(options.clock);
    }

    /** Milliseconds since the platform's last response; negative if there was none. */
    get lastResponseAgeMs(): number {
        return this.respondedAtMs === undefined ? -1 : this.options.clock.nowMs() - this.respondedAtMs;
    }

    /** Number of calls that have failed since the last response. */
    get failures(): number {
        return this.consecutiveFailures;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Records that the process was stalled until now. */
    recordStall(): void {
        this.stalledAtMs = this.options.clock.nowMs();
    }

    private async run(): Promise<void> {
        const { clock, dueInMs, batchMs } = this.options;
        const { signal } = this.stopping;
        while (!isAborted(signal)) {
            const dueMs = dueInMs();
            if (dueMs > 0) {
                await sleep(clock, Math.max(minimumCheckIntervalMs, Math.min(dueMs, maximumCheckIntervalMs)), signal);
                continue;
            }
            const nextCallAtMs = clock.nowMs() + batchMs;
            await this.callOnce(signal);
            await sleep(clock, nextCallAtMs - clock.nowMs(), signal);
        }
    }

    private async callOnce(signal: AbortSignal): Promise<void> {
        const { clock, random, retryMs, onPublication, checkForStall } = this.options;
        const kind = this.nextKind();
        const requestedAtMs = clock.nowMs();
        try {
            const publication = await this.call(kind, signal).finally(() => this.progress.end());
            this.hasRead = true;
            this.needsCurrentRead = false;
            this.unusableRevision = undefined;
            this.onResponse();
            checkForStall();
            const heldMs = this.heldMs(publication, requestedAtMs);
            this.progress.recordDuration(clock.nowMs() - requestedAtMs, heldMs);
            onPublication(publication, kind, requestedAtMs + heldMs);
            this.options.onCallEnd();
        }
        catch (thrown) {
            if (isAborted(signal)) {
                return;
            }
            if (thrown instanceof HistoryLostError || kind === "changes" && this.isUnusableAgain(thrown)) {
                this.needsCurrentRead = true;
                return;
            }
            if (this.hasFailedByStall(requestedAtMs)) {
                return;
            }
            this.onFailure(asError(thrown));
            this.options.onCallEnd();
            await sleep(clock, retryMs() * (0.5 + random.next()), signal);
        }
    }

    /**
     * Returns the time for which the platform certainly held a call before it wrote the response. When it wrote a response with changes
     * is unknown: the response may have waited in queues, on links and for the event loop.
     */
    private heldMs({ heldMs = 0 }: Publication, requestedAtMs: number): number {
        return this.options.clock.nowMs() - requestedAtMs >= heldMs ? heldMs : 0;
    }

    /**
     * Returns whether a watch would fail again in the same way: its response is too large, or could not be used for the second time
     * since the same revision.
     */
    private isUnusableAgain(thrown: unknown): boolean {
        if (!(thrown instanceof UnusablePublicationError)) {
            return false;
        }
        const revision = this.options.appliedRevision();
        const isAgain = thrown instanceof OversizedPublicationError || this.unusableRevision === revision;
        this.unusableRevision = revision;
        if (isAgain) {
            this.options.onUnusableChanges(thrown, revision);
        }
        return isAgain;
    }

    /**
     * Whether a call may have failed because the process was stalled: its timeout passed, or its connection closed, meanwhile. Only
     * one such call is repeated without counting as a failure, since an instance short of processor time stalls all the time.
     */
    private hasFailedByStall(requestedAtMs: number): boolean {
        this.options.checkForStall();
        if (this.stalledAtMs < requestedAtMs || this.hasRepeated) {
            return false;
        }
        this.hasRepeated = true;
        return true;
    }

    private nextKind(): PublicationKind {
        if (this.needsCurrentRead) {
            return "snapshot";
        }
        return this.hasRead || this.options.appliedRevision() > 0 ? "changes" : "stale-snapshot";
    }

    private async call(kind: PublicationKind, signal: AbortSignal): Promise<Publication> {
        const { platform, appliedRevision } = this.options;
        const onResponse = (): void => this.progress.answer();
        // While the platform fails, calls return at once so that a recovery is detected early.
        const longPollMs = kind === "changes" && this.consecutiveFailures === 0 ? this.options.longPollMs() : 0;
        this.progress.begin(longPollMs);
        if (kind !== "changes") {
            return platform.read(signal, kind === "stale-snapshot", onResponse);
        }
        const revision = appliedRevision();
        const publication = await platform.watch(revision, signal, longPollMs, onResponse);
        const { listings, zones, configuration } = publication;
        const isEmpty = listings.length === 0 && zones.length === 0 && configuration === undefined;
        // An empty response keeps the old revision, because a platform about to lose its history may omit changes.
        return isEmpty ? { ...publication, revision } : publication;
    }

    private onResponse(): void {
        this.respondedAtMs = this.options.clock.nowMs();
        this.hasRepeated = false;
        if (this.consecutiveFailures > 0) {
            this.consecutiveFailures = 0;
            this.options.onRecovered();
        }
    }

    private onFailure(error: Error): void {
        this.consecutiveFailures += 1;
        if (this.consecutiveFailures === 1) {
            this.options.onUnavailable(error);
        }
    }
}

/** A function, because the compiler would otherwise narrow the loop condition to a constant. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
