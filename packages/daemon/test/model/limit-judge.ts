/**
 * Counts what an upstream gets that names how many requests a second it takes, as its owners do.
 */

interface Named {
    readonly perSecond: number | undefined;
    readonly atMs: number;
}

interface Arrival {
    readonly instance: string;
    readonly atMs: number;
}

/** The span in which requests are counted, in milliseconds. */
const windowMs = 4000;

/** Time after an upstream first names a limit from which spans count, in milliseconds. */
const contactMs = 3000;

/** Time after its answer from which an instance counts as told, in milliseconds. */
const toldMs = 500;

/** What may come above the limit: this many times as much, and this many requests. */
const toleratedFactor = 1.5;
const toleratedRequests = 5;

/** The worst span of an upstream. */
export interface WorstSpan {
    readonly requests: number;
    readonly allowed: number;
    readonly endAtMs: number;
}

/** Keeps what one upstream named and got. */
export class LimitJudge {
    private readonly named: Named[] = [];
    private readonly arrivals: Arrival[] = [];
    private readonly all: number[] = [];
    private readonly toldAtMs = new Map<string, number>();

    /** Notes that the upstream names a limit from now on, or none. */
    noteNamed(perSecond: number | undefined, atMs: number): void {
        this.named.push({ perSecond, atMs });
    }

    /** Notes an answer that reaches an instance. */
    noteTold(instance: string, atMs: number): void {
        if (this.named.at(-1)?.perSecond !== undefined && !this.toldAtMs.has(instance)) {
            this.toldAtMs.set(instance, atMs);
        }
    }

    /** Forgets that an instance was told: it was started anew. */
    forget(instance: string): void {
        this.toldAtMs.delete(instance);
    }

    /** Notes a request that arrives from an instance. */
    noteArrival(instance: string, atMs: number): void {
        this.all.push(atMs);
        if (atMs >= (this.toldAtMs.get(instance) ?? Infinity) + toldMs) {
            this.arrivals.push({ instance, atMs });
        }
    }

    /** Requests of all instances between two times. */
    between(fromMs: number, untilMs: number): number {
        return this.all.filter(atMs => atMs > fromMs && atMs <= untilMs).length;
    }

    /** The span with most requests beyond those allowed; `undefined` without any. */
    get worst(): WorstSpan | undefined {
        const beganAtMs = this.named.find(({ perSecond }) => perSecond !== undefined)?.atMs ?? Infinity;
        const spans = this.arrivals
            .filter(({ atMs }) => atMs >= beganAtMs + contactMs)
            .map(({ atMs }) => ({
                requests: this.arrivals.filter(other => other.atMs > atMs - windowMs && other.atMs <= atMs).length,
                allowed: this.allowed(atMs - windowMs, atMs),
                endAtMs: atMs,
            }));
        return spans.sort((a, b) => b.requests - b.allowed - (a.requests - a.allowed))[0];
    }

    /** Whether nothing came beyond what is allowed. */
    get isKept(): boolean {
        const { worst } = this;
        return worst === undefined || worst.requests <= worst.allowed;
    }

    /** What may come in a span, by the largest limit that was named in it; without end where none was. */
    private allowed(fromMs: number, untilMs: number): number {
        const inForce = this.named.filter(({ atMs }, index) =>
            atMs <= untilMs && (this.named[index + 1]?.atMs ?? Infinity) > fromMs
        );
        const mostPerSecond = Math.max(...inForce.map(({ perSecond }) => perSecond ?? Infinity));
        return mostPerSecond * windowMs / 1000 * toleratedFactor + toleratedRequests;
    }
}
