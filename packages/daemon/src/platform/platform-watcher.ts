/**
 * Reads and watches the platform.
 *
 * @packageDocumentation
 */

import { asError, AutoResetEvent, sleep } from "@harrierhitch/core";
import { CallFailures } from "./call-failures.js";
import { CallProgress } from "./call-progress.js";
import { callTwice } from "./call-twice.js";
import type { PlatformWatcherOptions, PublicationKind } from "./platform-watcher-options.js";
import { HistoryLostError, OversizedPublicationError, type Publication, UnusablePublicationError } from "./platform.js";

/** Longest interval between checks whether a call is due, in milliseconds. */
const maximumCheckIntervalMs = 250;

/** Shortest interval between such checks, in milliseconds; avoids a busy loop when rounding leaves a tiny delay. */
const minimumCheckIntervalMs = 1;

/**
 * Time without a response after which a watch is repeated on a new connection, in milliseconds and in usual round trips: a kept connection may
 * have fallen silent although the platform responds.
 */
const secondCallDelayMs = 300;
const secondCallRoundTrips = 2;

/** Time without an answer after which that repetition counts as failed if the watch has, in milliseconds. */
const secondCallTimeoutMs = 300;

/** The result of a call, and when it was requested. */
interface CallResult {
    readonly publication: Publication;
    readonly requestedAtMs: number;
}

/** Reads the platform once, then watches it whenever a call is due. Failed calls are reported and retried. */
export class PlatformWatcher {
    private readonly stopping = new AbortController();
    private respondedAtMs: number | undefined;
    /** The call in progress, and how long calls take. */
    readonly progress: CallProgress;
    private hasRead = false;
    /** Calls of the current attempt: one, or two if the first had no response. */
    private callsMade = 0;
    /** The calls that have failed since the last response. */
    readonly failures: CallFailures;
    private readonly dueChanged: AutoResetEvent;
    /** Ends the call in progress, when this watcher stops or a request waits for what the platform still holds. */
    private held = new AbortController();
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
        this.failures = new CallFailures(options.clock);
        this.dueChanged = new AutoResetEvent(options.clock);
    }

    /** Milliseconds since the platform's last response; negative if there was none. */
    get lastResponseAgeMs(): number {
        return this.respondedAtMs === undefined ? -1 : this.options.clock.nowMs() - this.respondedAtMs;
    }

    start(): void {
        void this.run();
    }

    stop(): void {
        this.stopping.abort();
        this.held.abort();
        this.dueChanged.set();
    }

    /** Determines anew when a call is due, and ends a watch that the platform still holds. */
    refresh(): void {
        this.dueChanged.set();
        if (this.progress.isHeld) {
            this.held.abort();
        }
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
                await this.dueChanged.wait(Math.max(minimumCheckIntervalMs, Math.min(dueMs, maximumCheckIntervalMs)));
                continue;
            }
            const kind = this.nextKind();
            const nextCallAtMs = clock.nowMs() + batchMs;
            await this.callOnce(kind, signal);
            const pauseMs = Math.max(0, nextCallAtMs - clock.nowMs());
            // After a read that may be stale, requests do not wait for the end of the pause.
            await (kind === "stale-snapshot" ? this.dueChanged.wait(pauseMs) : sleep(clock, pauseMs, signal));
        }
    }

    private async callOnce(kind: PublicationKind, signal: AbortSignal): Promise<void> {
        const { clock, random, retryMs, onPublication, checkForStall } = this.options;
        const startedAtMs = clock.nowMs();
        this.held = new AbortController();
        try {
            const { publication, requestedAtMs } = await this.call(kind, this.held.signal).finally(() => this.progress.end());
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
            if (isAborted(this.held.signal)) {
                return;
            }
            if (thrown instanceof HistoryLostError || kind === "changes" && this.isUnusableAgain(thrown)) {
                this.needsCurrentRead = true;
                return;
            }
            if (this.hasFailedByStall(startedAtMs)) {
                return;
            }
            this.onFailure(asError(thrown), startedAtMs);
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

    private async call(kind: PublicationKind, signal: AbortSignal): Promise<CallResult> {
        const { platform, appliedRevision, clock, mayRepeat } = this.options;
        const onResponse = (): void => this.progress.answer();
        // While the platform fails, calls return at once so that a recovery is detected early.
        const longPollMs = kind === "changes" && !this.failures.isFailing ? this.options.longPollMs() : 0;
        this.progress.begin(longPollMs);
        this.callsMade = 0;
        if (kind !== "changes") {
            const requestedAtMs = clock.nowMs();
            this.callsMade += 1;
            return { publication: await platform.read(signal, kind === "stale-snapshot", onResponse), requestedAtMs };
        }
        const revision = appliedRevision();
        const watch = async (waitMs: number, watchSignal: AbortSignal, isOnNewConnection: boolean): Promise<CallResult> => {
            const requestedAtMs = clock.nowMs();
            this.callsMade += 1;
            const publication = await platform.watch(revision, watchSignal, waitMs, onResponse, isOnNewConnection);
            const { listings, zones, configuration } = publication;
            const isEmpty = listings.length === 0 && zones.length === 0 && configuration === undefined;
            // An empty response keeps the old revision, because a platform about to lose its history may omit changes.
            return { publication: isEmpty ? { ...publication, revision } : publication, requestedAtMs };
        };
        return callTwice({
            ...{ clock, signal },
            delayMs: longPollMs + Math.max(secondCallDelayMs, secondCallRoundTrips * this.progress.roundTripMs),
            secondTimeoutMs: secondCallTimeoutMs,
            isDue: () => !this.failures.isFailing && this.progress.unansweredMs > 0 && mayRepeat(),
            first: firstSignal => watch(longPollMs, firstSignal, false),
            second: secondSignal => watch(0, secondSignal, true),
        });
    }

    private onResponse(): void {
        this.respondedAtMs = this.options.clock.nowMs();
        this.hasRepeated = false;
        if (this.failures.isFailing) {
            this.failures.clear();
            this.options.onRecovered();
        }
    }

    private onFailure(error: Error, requestedAtMs: number): void {
        const wasFailing = this.failures.isFailing;
        this.failures.record(requestedAtMs, this.callsMade);
        if (!wasFailing) {
            this.options.onUnavailable(error);
        }
    }
}

/** A function, because the compiler would otherwise narrow the loop condition to a constant. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
