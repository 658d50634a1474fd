/**
 * Checks what upstreams get that name how many requests a second they take, summed over the instances that were told.
 *
 * @packageDocumentation
 */

import type { AskedByUpstream } from "../upstream-standin.js";

interface Limited {
    readonly perSecond: number;
    readonly sinceMs: number;
    /** When each instance, and start of it, was told. */
    readonly toldAtMs: Map<string, number>;
    arrivalsMs: number[];
    isBroken: boolean;
}

/** The span in which requests are counted, in milliseconds: as users count. */
const spanMs = 4000;

/** Time after it names a limit from which spans count, in milliseconds: as users count. */
const contactMs = 3000;

/** Time after a request that an instance counts as told by its answer, in milliseconds: users count half a second from the answer on. */
const toldMs = 1500;

/** Requests in a span that may come: as users count. */
const allowedOf = (perSecond: number): number => perSecond * spanMs / 1000 * 1.5 + 5;

/** Keeps, of each upstream that names a limit, what it got since. */
export class LimitWatch {
    private readonly limited = new Map<string, Limited>();

    /** @param onBroken - Told once of each limit that was passed. */
    constructor(private readonly onBroken: (detail: string) => void) {}

    /**
     * Notes a request.
     *
     * @param upstream - The upstream.
     * @param entry - The instance that sent it, and which start of it.
     * @param atMs - When it arrived.
     * @param asks - What its answer asks for.
     */
    note(upstream: string, entry: string, atMs: number, { limitPerSecond }: AskedByUpstream): void {
        if (limitPerSecond === undefined) {
            this.limited.delete(upstream);
            return;
        }
        const known = this.limited.get(upstream);
        const limited: Limited = known?.perSecond === limitPerSecond
            ? known
            : { perSecond: limitPerSecond, sinceMs: atMs, toldAtMs: new Map(), arrivalsMs: [], isBroken: false };
        this.limited.set(upstream, limited);
        const toldAtMs = limited.toldAtMs.get(entry);
        if (toldAtMs === undefined) {
            limited.toldAtMs.set(entry, atMs + toldMs);
        }
        else if (atMs >= toldAtMs) {
            limited.arrivalsMs = [...limited.arrivalsMs.filter(before => before > atMs - spanMs), atMs];
            this.judge(upstream, limited, atMs);
        }
    }

    /** Forgets who was told, because answers may have been lost on their way. */
    forget(upstream: string): void {
        this.limited.delete(upstream);
    }

    private judge(upstream: string, limited: Limited, atMs: number): void {
        const { perSecond, sinceMs, arrivalsMs, isBroken } = limited;
        if (!isBroken && atMs >= sinceMs + contactMs && arrivalsMs.length > allowedOf(perSecond)) {
            limited.isBroken = true;
            this.onBroken(`${upstream} takes ${perSecond} a second and got ${arrivalsMs.length} requests in ${spanMs} ms`);
        }
    }
}
