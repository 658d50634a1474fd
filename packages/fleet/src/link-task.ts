/**
 * The task of one link: exchanges with one member at intervals and on changes.
 *
 * @packageDocumentation
 */

import { AutoResetEvent, type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import type { ExchangeReason } from "./exchange-reason.js";
import type { Link } from "./links.js";

/** Options of {@link LinkTask}. */
export interface LinkTaskOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly link: () => Link;
    /** Returns the latest state of the member. */
    readonly member: () => Member;
    /** Exchanges state with the member, as a long poll if the link specifies one; resolves with whether it responded. */
    readonly exchangeWith: (member: Member, reason: ExchangeReason, link?: Link) => Promise<boolean>;
    /** Called when an exchange is delayed by the minimum interval. */
    readonly onLimited: () => void;
}

/** Minimum pause between two exchanges over one link, in milliseconds, so that changes are batched. */
const minimumPauseMs = 20;

/**
 * Minimum interval between the starts of two exchanges over one link, in milliseconds. It bounds the rate whatever goes wrong:
 * instances that keep notifying each other would run out of file descriptors.
 */
const minimumIntervalMs = 100;

/** Exchanges state with one member until it is stopped. */
export class LinkTask {
    private readonly changed: AutoResetEvent;
    /** Set for changes that must reach the member while a long poll is pending. */
    private readonly urgentlyChanged: AutoResetEvent;
    private readonly stopping = new AbortController();

    /** @param options - The link and its exchanges. */
    constructor(private readonly options: LinkTaskOptions) {
        this.changed = new AutoResetEvent(options.clock);
        this.urgentlyChanged = new AutoResetEvent(options.clock);
        void this.exchangeWhileRunning();
        void this.sendUrgentWhileRunning();
    }

    /** Wakes the task so that it ends; an exchange in progress is not cancelled. */
    stop(): void {
        this.stopping.abort();
        this.changed.set();
        this.urgentlyChanged.set();
    }

    /**
     * Starts an exchange without waiting for the interval.
     *
     * @param isUrgent - Whether to start an exchange also while a long poll is pending.
     */
    wake(isUrgent: boolean): void {
        const { longPollMs } = this.options.link();
        if (longPollMs === 0) {
            this.changed.set();
        }
        else if (isUrgent) {
            this.urgentlyChanged.set();
        }
    }

    private async exchangeWhileRunning(): Promise<void> {
        const { random, link: currentLink, member, exchangeWith } = this.options;
        const { signal } = this.stopping;
        let reason: ExchangeReason = "interval";
        while (!signal.aborted) {
            const link = currentLink();
            const startedAtMs = this.options.clock.nowMs();
            const hasResponded = await exchangeWith(member(), link.longPollMs > 0 ? "question" : reason, link);
            // A long poll that was answered is followed by the next one without the interval.
            const pauseMs = link.longPollMs === 0 || !hasResponded ? link.intervalMs * (0.75 + 0.5 * random.next()) : 0;
            reason = pauseMs > 0 && await this.changed.wait(pauseMs) ? "news" : "interval";
            await this.throttle(startedAtMs);
        }
    }

    /** Sends urgent changes, one exchange at a time; changes during an exchange are sent by the next one. */
    private async sendUrgentWhileRunning(): Promise<void> {
        const { clock, member, exchangeWith } = this.options;
        const { signal } = this.stopping;
        while (!signal.aborted) {
            if (await this.urgentlyChanged.wait() && !isAborted(signal)) {
                const startedAtMs = clock.nowMs();
                await exchangeWith(member(), "news");
                await this.throttle(startedAtMs);
            }
        }
    }

    private async throttle(startedAtMs: number): Promise<void> {
        const { clock, onLimited } = this.options;
        const remainingMs = startedAtMs + minimumIntervalMs - clock.nowMs();
        if (remainingMs > minimumPauseMs) {
            onLimited();
        }
        await sleep(clock, Math.max(minimumPauseMs, remainingMs), this.stopping.signal);
    }
}

/** Reads the property in a function, because the compiler narrows it by the loop's condition. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
