/**
 * How fast requests that wait are sent on.
 *
 * @packageDocumentation
 */

/** Admissions that are remembered: enough to tell a pace, few enough to follow a rush. */
const remembered = 8;

/** Time after which an admission no longer tells of the present, in milliseconds. */
const rememberedMs = 2000;

/** Measures the time between two admissions out of a queue that is never empty in between. */
export class AdmissionInterval {
    private admittedAtMs: readonly number[] = [];

    /** Notes an admission. */
    note(atMs: number): void {
        this.admittedAtMs = [...this.admittedAtMs, atMs].slice(-remembered);
    }

    /** Milliseconds from one admission to the next; 0 while too little is known. */
    intervalMs(nowMs: number): number {
        const recent = this.admittedAtMs.filter(atMs => nowMs - atMs <= rememberedMs);
        const [first] = recent;
        return first === undefined || recent.length < remembered ? 0 : (nowMs - first) / recent.length;
    }
}
