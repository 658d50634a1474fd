/**
 * How late this process itself looks at what arrives, so that its own stalls count against nobody.
 *
 * @packageDocumentation
 */

/** Time between two looks at the clock, in milliseconds. */
const tickMs = 20;

/** Time for which a stall is remembered, in milliseconds: longer than what it delayed takes to be worked off. */
const rememberedMs = 3000;

/** Measures by how much ticks come too late. */
export class LagWatch {
    private stalls: readonly { readonly atMs: number; readonly lateMs: number; }[] = [];
    private dueAtMs = performance.now() + tickMs;
    private readonly timer = setInterval(() => this.look(), tickMs);

    /** Longest stall of the last seconds, in milliseconds. */
    get lagMs(): number {
        this.look();
        return Math.max(0, ...this.stalls.map(({ lateMs }) => lateMs));
    }

    /** Ends the watch. */
    stop(): void {
        clearInterval(this.timer);
    }

    private look(): void {
        const nowMs = performance.now();
        const lateMs = nowMs - this.dueAtMs;
        this.dueAtMs = nowMs + tickMs;
        const kept = this.stalls.filter(({ atMs }) => nowMs - atMs < rememberedMs);
        this.stalls = lateMs > tickMs ? [...kept, { atMs: nowMs, lateMs }] : kept;
    }
}
