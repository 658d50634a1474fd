/**
 * Bounds the age of network events that the event loop has not delivered yet.
 *
 * @packageDocumentation
 */

/** Options of {@link PollMonitor}. */
export interface PollMonitorOptions {
    /** Returns the monotonic time in milliseconds. */
    readonly nowMs?: () => number;
    /** Returns the total time in milliseconds that the event loop has spent waiting for events. */
    readonly idleMs?: () => number;
}

/** Age of undelivered events up to which the event loop counts as up to date, in milliseconds. */
const maximumUnseenMs = 100;

/** Most turns of the event loop to wait for a connection that keeps delivering data. */
const maximumTurns = 64;

/** Duration of a turn of the event loop after which one more is waited for, in milliseconds. */
const maximumTurnMs = 100;

/** Most such turns, so that requests begin although all turns are long. */
const maximumLongTurns = 3;

/** Time without data after which nothing more is on its way, in milliseconds; longer than kernels delay acknowledgements. */
const quietMs = 50;

/** The same if the last message is complete, so that at most the close is on its way, in milliseconds. */
const completeQuietMs = 20;

/** Interval at which a connection that was paused is checked for data, in milliseconds. */
const catchUpCheckMs = 5;

/** Least share of a period that the event loop must have waited in to count as idle; polling alone takes less. */
const minimumIdleShare = 0.1;

/** Least wait that counts as idle, in milliseconds. */
const minimumIdleMs = 0.1;

/**
 * Samples the idle time of the event loop. A loop that waits has nothing left to deliver: no data, no end of a connection and
 * no new connection. What it has not delivered yet is therefore younger than its last wait.
 */
export class PollMonitor {
    private readonly nowMs: () => number;
    private readonly idleMs: () => number;
    private sampledAtMs: number;
    private sampledIdleMs: number;
    /** Time after which the loop has waited. */
    private idleAfterMs: number;

    /** @param options - Time sources; they default to those of the process. */
    constructor({ nowMs = () => performance.now(), idleMs = () => performance.nodeTiming.idleTime }: PollMonitorOptions = {}) {
        this.nowMs = nowMs;
        this.idleMs = idleMs;
        this.sampledAtMs = nowMs();
        this.sampledIdleMs = idleMs();
        this.idleAfterMs = this.sampledAtMs;
    }

    /** Called regularly, so that {@link unseenMs} is exact to the interval of the calls. */
    sample(): void {
        const nowMs = this.nowMs();
        const idleMs = this.idleMs();
        const waitedMs = idleMs - this.sampledIdleMs;
        if (waitedMs >= minimumIdleMs && waitedMs >= (nowMs - this.sampledAtMs) * minimumIdleShare) {
            this.idleAfterMs = this.sampledAtMs;
        }
        this.sampledAtMs = nowMs;
        this.sampledIdleMs = idleMs;
    }

    /** Greatest possible age of an event that has not been delivered yet, in milliseconds. */
    get unseenMs(): number {
        this.sample();
        return this.sampledAtMs - this.idleAfterMs;
    }

    /** Whether events that arrived some time ago may not have been delivered yet, such as the close of a connection. */
    get isBehind(): boolean {
        return this.unseenMs > maximumUnseenMs;
    }

    /**
     * Waits until all that had arrived at a connection while it was paused has been delivered. What its sender still buffers arrives
     * only once there is space for it, and its last bytes only after a delayed acknowledgement.
     *
     * @param connection - What has been delivered so far, and whether the end of a message is still missing.
     * @param maximumBytes - Number of bytes after which not to wait any longer.
     */
    async whenCaughtUp(
        { bytesRead, expectsMore }: { readonly bytesRead: () => number; readonly expectsMore: () => boolean; },
        maximumBytes: number,
    ): Promise<void> {
        const endBytes = bytesRead() + maximumBytes;
        for (let quietSinceMs = this.nowMs(), isQuiet = false; !isQuiet;) {
            const before = bytesRead();
            await new Promise(resolve => setTimeout(resolve, catchUpCheckMs));
            // A busy event loop runs the timer before it has polled for data.
            await new Promise<void>(resolve => this.afterDelivery(resolve));
            if (bytesRead() !== before) {
                quietSinceMs = this.nowMs();
            }
            const quietForMs = this.nowMs() - quietSinceMs;
            isQuiet = quietForMs >= (expectsMore() ? quietMs : completeQuietMs) || bytesRead() >= endBytes;
        }
    }

    /**
     * Calls back after what has arrived at a connection has been delivered. The end of a connection is delivered one turn of the
     * event loop after the data before it. After a long turn it waits for another one, since more may have arrived meanwhile.
     *
     * @param action - The callback.
     * @param receivedBytes - Returns the number of bytes that were delivered so far.
     */
    afterDelivery(action: () => void, receivedBytes: () => number = () => 0): void {
        const waitTurn = (before: number, turns: number, longTurns: number): void => {
            const sinceMs = this.nowMs();
            setImmediate(() => {
                const received = receivedBytes();
                const isLong = this.nowMs() - sinceMs > maximumTurnMs && longTurns < maximumLongTurns;
                if (turns >= maximumTurns || turns > 0 && received === before && !isLong) {
                    action();
                }
                else {
                    waitTurn(received, turns + 1, longTurns + Number(isLong));
                }
            });
        };
        waitTurn(receivedBytes(), 0, 0);
    }
}
