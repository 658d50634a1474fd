/**
 * When one instance may send to an upstream that names how many requests it takes.
 *
 * @packageDocumentation
 */

/** Sums of fractions of requests are a little more or less than whole ones. */
const roundingError = 1e-9;

/**
 * The turns of one instance at one upstream. Where many share a limit, each has one turn in each of its periods, early or late in it as
 * a request comes up; where few share a large one, turns are saved up for a moment.
 */
export class LimitTurns {
    /** Requests that may be sent at once, with a fraction that grows towards the next. */
    private saved: number;
    private savedAtMs: number;
    private periodEndsAtMs = -Infinity;
    private isUsed = true;

    /**
     * @param nowMs - The time now.
     * @param draw - A random number of at least 0 and below 1, which keeps instances from walking in step.
     */
    constructor(nowMs: number, private readonly draw: number) {
        this.saved = draw;
        this.savedAtMs = nowMs;
    }

    /**
     * Time until the next turn, with one in each period.
     *
     * @param nowMs - The time now.
     * @param periodMs - Length of a period.
     * @returns Milliseconds; 0 when it is now.
     */
    periodWaitMs(nowMs: number, periodMs: number): number {
        if (this.periodEndsAtMs === -Infinity) {
            this.periodEndsAtMs = nowMs + this.draw * periodMs;
        }
        // A limit that has risen makes the period that runs shorter; one that has fallen only the next ones longer.
        this.periodEndsAtMs = Math.min(this.periodEndsAtMs, nowMs + periodMs);
        if (nowMs >= this.periodEndsAtMs) {
            this.periodEndsAtMs += (Math.floor((nowMs - this.periodEndsAtMs) / periodMs) + 1) * periodMs;
            this.isUsed = false;
        }
        return this.isUsed ? this.periodEndsAtMs - nowMs : 0;
    }

    /**
     * Time until the next turn, with turns that are saved up.
     *
     * @param nowMs - The time now.
     * @param gapMs - Time in which one is gained.
     * @param most - Most that are saved up.
     * @param fromMs - When they begin to be gained.
     * @returns Milliseconds; 0 when one is there.
     */
    savedWaitMs(nowMs: number, gapMs: number, most: number, fromMs = -Infinity): number {
        const gainedMs = Math.max(0, nowMs - Math.max(this.savedAtMs, fromMs));
        this.saved = Math.min(most, this.saved + gainedMs / gapMs);
        this.savedAtMs = nowMs;
        return this.saved >= 1 - roundingError ? 0 : (1 - this.saved) * gapMs + Math.max(0, fromMs - nowMs);
    }

    /** Notes that a turn was taken. */
    noteSent(): void {
        this.saved -= 1;
        this.isUsed = true;
    }
}
