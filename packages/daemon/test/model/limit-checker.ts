/**
 * Checks that an upstream does not receive more requests than the rate limit that it announces.
 */

interface AnnouncedLimit {
    readonly perSecond: number | undefined;
    readonly atMs: number;
}

interface Arrival {
    readonly instance: string;
    readonly atMs: number;
}

/** Length of the window in which requests are counted, in milliseconds. */
const windowMs = 4000;

/** Time after the first announcement of a limit before windows are checked, in milliseconds. */
const announcementGraceMs = 3000;

/** Time after the response with the limit before requests of its instance are counted, in milliseconds. */
const notificationGraceMs = 500;

/** Tolerance above the limit: a factor, and a number of requests on top. */
const toleratedFactor = 1.5;
const toleratedRequests = 5;

/** The window with the most requests above those allowed. */
export interface WorstWindow {
    readonly requests: number;
    readonly allowed: number;
    readonly endAtMs: number;
}

/** Records the limits that one upstream announces and the requests that it receives. */
export class LimitChecker {
    private readonly announced: AnnouncedLimit[] = [];
    /** Requests of instances that received the limit. */
    private readonly arrivals: Arrival[] = [];
    /** Times of all requests. */
    private readonly all: number[] = [];
    private readonly notifiedAtMs = new Map<string, number>();

    /** Records the limit that the upstream announces from now on; `undefined` for none. */
    recordAnnouncement(perSecond: number | undefined, atMs: number): void {
        this.announced.push({ perSecond, atMs });
    }

    /** Records that a response has reached an instance. */
    recordNotified(instance: string, atMs: number): void {
        if (this.announced.at(-1)?.perSecond !== undefined && !this.notifiedAtMs.has(instance)) {
            this.notifiedAtMs.set(instance, atMs);
        }
    }

    /** Records that an instance was restarted and has not received the limit. */
    resetInstance(instance: string): void {
        this.notifiedAtMs.delete(instance);
    }

    /** Records a request of an instance. */
    recordArrival(instance: string, atMs: number): void {
        this.all.push(atMs);
        if (atMs >= (this.notifiedAtMs.get(instance) ?? Infinity) + notificationGraceMs) {
            this.arrivals.push({ instance, atMs });
        }
    }

    /** Returns the number of requests of all instances between two times. */
    between(fromMs: number, untilMs: number): number {
        return this.all.filter(atMs => atMs > fromMs && atMs <= untilMs).length;
    }

    /** The window with the most requests above those allowed; `undefined` without requests. */
    get worst(): WorstWindow | undefined {
        const beganAtMs = this.announced.find(({ perSecond }) => perSecond !== undefined)?.atMs ?? Infinity;
        const windows = this.arrivals
            .filter(({ atMs }) => atMs >= beganAtMs + announcementGraceMs)
            .map(({ atMs }) => ({
                requests: this.arrivals.filter(other => other.atMs > atMs - windowMs && other.atMs <= atMs).length,
                allowed: this.allowed(atMs - windowMs, atMs),
                endAtMs: atMs,
            }));
        return windows.sort((a, b) => b.requests - b.allowed - (a.requests - a.allowed))[0];
    }

    /** Whether no window exceeds what is allowed. */
    get isRespected(): boolean {
        const { worst } = this;
        return worst === undefined || worst.requests <= worst.allowed;
    }

    /** Requests allowed in a window by the largest limit announced in it; `Infinity` without one. */
    private allowed(fromMs: number, untilMs: number): number {
        const activeLimits = this.announced.filter(({ atMs }, index) =>
            atMs <= untilMs && (this.announced[index + 1]?.atMs ?? Infinity) > fromMs
        );
        const mostPerSecond = Math.max(...activeLimits.map(({ perSecond }) => perSecond ?? Infinity));
        return mostPerSecond * windowMs / 1000 * toleratedFactor + toleratedRequests;
    }
}
