/**
 * Measures the rate at which queued requests are sent.
 *
 * @packageDocumentation
 */

/** Number of recent admissions that are averaged. */
const sampleCount = 8;

/** Age above which an admission is ignored, in milliseconds. */
const sampleWindowMs = 2000;

/** Average time between admissions from a queue. */
export class AdmissionInterval {
    private admittedAtMs: readonly number[] = [];

    record(atMs: number): void {
        this.admittedAtMs = [...this.admittedAtMs, atMs].slice(-sampleCount);
    }

    /** Average time between two admissions, in milliseconds; 0 while there are too few recent ones. */
    intervalMs(nowMs: number): number {
        const recent = this.admittedAtMs.filter(atMs => nowMs - atMs <= sampleWindowMs);
        const [first] = recent;
        return first === undefined || recent.length < sampleCount ? 0 : (nowMs - first) / recent.length;
    }
}
