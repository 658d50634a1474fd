/**
 * Checks that upstreams neither receive requests of callers that have left nor go on working on them.
 *
 * @packageDocumentation
 */

import type { EntryProcess } from "./entry-process.js";

/** Time after a caller's departure from which its requests count as late, in milliseconds. */
const graceMs = 500;

/** Options of {@link LeaveChecker}. */
export interface LeaveCheckerOptions {
    /** Returns the longest recent stall of this process, in milliseconds. */
    readonly lagMs: () => number;
    readonly onViolation: (detail: string) => void;
}

/** Compares the departures of callers with the requests that upstreams have. */
export class LeaveChecker {
    private readonly leftAtMs = new Map<string, number>();
    /** Repeatable requests at upstreams, with the number of their attempts. */
    private readonly working = new Map<string, number>();

    /** @param options - Receives what is wrong. */
    constructor(private readonly options: LeaveCheckerOptions) {}

    /** Number of requests whose callers have left. */
    get departures(): number {
        return this.leftAtMs.size;
    }

    /**
     * Records that a caller closed its connection.
     *
     * @param numbers - Numbers of its requests.
     * @param entry - The instance to which it was connected.
     */
    recordDeparture(numbers: readonly string[], entry: EntryProcess): void {
        const atMs = performance.now();
        const { incarnation } = entry;
        numbers.forEach(number => this.leftAtMs.set(number, atMs));
        const check = (): void => {
            const remainingMs = atMs + graceMs + this.options.lagMs() - performance.now();
            if (remainingMs > 0) {
                setTimeout(check, remainingMs);
            }
            else if (entry.state === "running" && entry.incarnation === incarnation) {
                numbers.filter(number => (this.working.get(number) ?? 0) > 0).forEach(number =>
                    this.options.onViolation(`${number} of ${entry.options.name} is worked on although its caller left`)
                );
            }
        };
        setTimeout(check, graceMs);
    }

    /**
     * Records that a request arrived at an upstream.
     *
     * @param number - Number of the request.
     * @param origin - The instance that sent it, and the delay of the connection to the upstream in milliseconds.
     */
    recordArrival(number: string, { entry, delayMs }: { readonly entry: string; readonly delayMs: number; }): void {
        const leftAtMs = this.leftAtMs.get(number);
        const lateMs = leftAtMs === undefined ? 0 : performance.now() - leftAtMs - delayMs - this.options.lagMs();
        if (lateMs > graceMs) {
            this.options.onViolation(`${number} arrived from ${entry} ${Math.round(lateMs)} ms after its caller had left`);
        }
    }

    /** Adds a repeatable request to those that upstreams work on, or removes it. */
    addWork(number: string, attempts: 1 | -1): void {
        this.working.set(number, (this.working.get(number) ?? 0) + attempts);
    }
}
