/**
 * The task of one link: exchanges with one member, at intervals and on news.
 *
 * @packageDocumentation
 */

import { type Clock, type RandomSource, sleep } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import { AutoResetEvent } from "./auto-reset-event.js";
import type { ExchangeReason } from "./exchange-reason.js";
import type { Link } from "./links.js";

/** Options of {@link LinkTask}. */
export interface LinkTaskOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** The link, as it was chosen last. */
    readonly link: () => Link;
    /** The member, as it was heard of last. */
    readonly member: () => Member;
    /** Exchanges news with the member, which may keep its answer back for a time; tells whether it answered. */
    readonly exchangeWith: (member: Member, reason: ExchangeReason, link?: Link) => Promise<boolean>;
    /** Told when an exchange had to wait because the one before it was just now. */
    readonly onLimited: () => void;
}

/** Shortest pause between two exchanges over one link, so that news are gathered. */
const minimumPauseMs = 20;

/**
 * Shortest time between the beginnings of two exchanges of one kind over one link: whatever comes up, and however wrong
 * it is taken in, a link makes ten a second; instances that keep telling each other would use up their descriptors.
 */
const exchangeGapMs = 100;

/** Talks to one member until it is stopped. */
export class LinkTask {
    private readonly news: AutoResetEvent;
    /** What has come up while the member keeps its answer back, and must reach it before that answer is due. */
    private readonly urgentNews: AutoResetEvent;
    private readonly ending = new AbortController();

    /** @param options - The link and the way to talk. */
    constructor(private readonly options: LinkTaskOptions) {
        this.news = new AutoResetEvent(options.clock);
        this.urgentNews = new AutoResetEvent(options.clock);
        void this.exchangeWhileRunning();
        void this.tellWhileRunning();
    }

    /** Ends the task. */
    stop(): void {
        this.ending.abort();
        this.news.set();
        this.urgentNews.set();
    }

    /**
     * Lets the link exchange now, because there is news.
     *
     * @param isUrgent - Whether a member that keeps its answer back has to hear it before that is due.
     */
    wake(isUrgent: boolean): void {
        const { waitMs } = this.options.link();
        if (waitMs === 0) {
            this.news.set();
        }
        else if (isUrgent) {
            this.urgentNews.set();
        }
    }

    private async exchangeWhileRunning(): Promise<void> {
        const { random, link: linkNow, member, exchangeWith } = this.options;
        const { signal } = this.ending;
        let reason: ExchangeReason = "interval";
        while (!signal.aborted) {
            const link = linkNow();
            const beganAtMs = this.options.clock.nowMs();
            const answered = await exchangeWith(member(), link.waitMs > 0 ? "question" : reason, link);
            // Whoever waits for the answer needs no pause between two questions.
            const pauseMs = link.waitMs === 0 || !answered ? link.intervalMs * (0.75 + 0.5 * random.next()) : 0;
            reason = pauseMs > 0 && await this.news.wait(pauseMs) ? "news" : "interval";
            await this.keepGap(beganAtMs);
        }
    }

    /** Tells what is urgent, one call at a time; what comes up meanwhile is told by the next one. */
    private async tellWhileRunning(): Promise<void> {
        const { clock, member, exchangeWith } = this.options;
        const { signal } = this.ending;
        while (!signal.aborted) {
            if (await this.urgentNews.wait() && !isAborted(signal)) {
                const beganAtMs = clock.nowMs();
                await exchangeWith(member(), "news");
                await this.keepGap(beganAtMs);
            }
        }
    }

    private async keepGap(beganAtMs: number): Promise<void> {
        const { clock, onLimited } = this.options;
        const leftMs = beganAtMs + exchangeGapMs - clock.nowMs();
        if (leftMs > minimumPauseMs) {
            onLimited();
        }
        await sleep(clock, Math.max(minimumPauseMs, leftMs), this.ending.signal);
    }
}

/** Read through a function, because the compiler takes the loop's condition for granted. */
const isAborted = (signal: AbortSignal): boolean => signal.aborted;
