/**
 * Measures stalls of this process, so that delays caused by it are not reported as violations.
 *
 * @packageDocumentation
 */

/** Time between two checks of the clock, in milliseconds. */
const checkIntervalMs = 20;

/** Time for which a stall is retained, in milliseconds; longer than the processing of its backlog. */
const retentionMs = 3000;

/** Measures the delay of a periodic timer. */
export class LagMonitor {
    private stalls: readonly { readonly atMs: number; readonly lateMs: number; }[] = [];
    private dueAtMs = performance.now() + checkIntervalMs;
    private readonly timer = setInterval(() => this.check(), checkIntervalMs);

    /** Longest stall within the retention time, in milliseconds. */
    get lagMs(): number {
        this.check();
        return Math.max(0, ...this.stalls.map(({ lateMs }) => lateMs));
    }

    /** Stops the timer. */
    stop(): void {
        clearInterval(this.timer);
    }

    private check(): void {
        const nowMs = performance.now();
        const lateMs = nowMs - this.dueAtMs;
        this.dueAtMs = nowMs + checkIntervalMs;
        const recent = this.stalls.filter(({ atMs }) => nowMs - atMs < retentionMs);
        this.stalls = lateMs > checkIntervalMs ? [...recent, { atMs: nowMs, lateMs }] : recent;
    }
}
