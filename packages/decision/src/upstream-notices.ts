/**
 * What upstreams told of one start of theirs, kept apart from what is listed.
 *
 * Beliefs end with an upstream's entry; a word that an upstream gave does not. An entry that lapses and comes back, or cannot be
 * read for a while, names the same start, and what that one said still binds.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** A start of an upstream, as far as whoever tells of it names it. */
export interface NamedStart {
    readonly id: UpstreamId;
    readonly address?: string;
    readonly port?: number;
    /** When it began, in milliseconds since the Unix epoch; 0 or absent where that is not known. */
    readonly startedAtMs?: number | undefined;
}

interface Notice {
    /** The start that is meant; 0 where that is not known. */
    readonly startedAtMs: number;
    /** Address and port of a start that is not known otherwise. */
    readonly endpoint: string | undefined;
    /** When the upstream itself last said something, in milliseconds since the Unix epoch; 0 where only others told. */
    readonly saidAtUnixMs: number;
    readonly notedAtMs: number;
    readonly isLeaving: boolean;
    /** Until when it wants nothing from this instance, on its clock; 0 without a rest. */
    readonly restUntilMs: number;
}

/** Options of {@link UpstreamNotices}. */
export interface UpstreamNoticesOptions {
    readonly clock: Clock;
}

/** Most upstreams whose notices are kept, some 100 bytes each: a third of all upstreams at the size to design for. */
const maximumNotices = 4096;

/**
 * Time for which a start that is not named counts as the same when its upstream is listed again, in milliseconds: entries
 * that lapsed while the platform was away are back within seconds of its return.
 */
const unnamedStartMs = 60_000;

/** Most by which the times of day of two machines are taken to differ, in milliseconds. */
const clockSkewMs = 1000;

/** Remembers, for each upstream, what binds this instance until another start of it is known. */
export class UpstreamNotices {
    private readonly notices = new Map<UpstreamId, Notice>();

    /** @param options - The clock. */
    constructor(private readonly options: UpstreamNoticesOptions) {}

    /**
     * Notes that a start leaves; one that does never takes work again.
     *
     * @param start - The start.
     * @param saidAtUnixMs - When the upstream said so itself, in milliseconds since the Unix epoch; 0 where others told.
     */
    noteLeaving(start: NamedStart, saidAtUnixMs: number): void {
        this.put(start, saidAtUnixMs, { isLeaving: true, restUntilMs: 0 });
    }

    /** Whether a start leaves. */
    isLeaving(start: NamedStart): boolean {
        return this.binding(start)?.isLeaving === true;
    }

    /**
     * Notes that a start wants nothing from this instance for a while; a rest that was asked for before is not cut short.
     *
     * @param start - The start.
     * @param saidAtUnixMs - When it said so, in milliseconds since the Unix epoch.
     * @param restMs - For how long, from now.
     */
    noteRest(start: NamedStart, saidAtUnixMs: number, restMs: number): void {
        this.put(start, saidAtUnixMs, { isLeaving: false, restUntilMs: this.options.clock.nowMs() + restMs });
    }

    /** Milliseconds for which a start wants nothing from this instance; 0 when it takes requests. */
    restLeftMs(start: NamedStart): number {
        return Math.max(0, (this.binding(start)?.restUntilMs ?? 0) - this.options.clock.nowMs());
    }

    private put(start: NamedStart, saidAtUnixMs: number, said: Pick<Notice, "isLeaving" | "restUntilMs">): void {
        const { startedAtMs = 0 } = start;
        const known = this.notices.get(start.id);
        const isOutdated = known !== undefined && startedAtMs > 0 && startedAtMs < known.startedAtMs
            && !couldSay(known.startedAtMs, saidAtUnixMs);
        if (isOutdated) {
            return;
        }
        // News of a start without a name are taken to be of the one that is known: they must not displace what binds it.
        const before = startedAtMs === 0 && known !== undefined && known.startedAtMs > 0 ? known : this.binding(start);
        // Noted last, so that the oldest are dropped first.
        this.notices.delete(start.id);
        this.notices.set(start.id, {
            startedAtMs: Math.max(startedAtMs, before?.startedAtMs ?? 0),
            endpoint: endpointOf(start) ?? before?.endpoint,
            saidAtUnixMs: Math.max(saidAtUnixMs, before?.saidAtUnixMs ?? 0),
            notedAtMs: this.options.clock.nowMs(),
            isLeaving: said.isLeaving || before?.isLeaving === true,
            restUntilMs: Math.max(said.restUntilMs, before?.restUntilMs ?? 0),
        });
        [...this.notices.keys()].slice(0, Math.max(0, this.notices.size - maximumNotices)).forEach(id => this.notices.delete(id));
    }

    /** What is noted of an upstream, if it binds this start of it. */
    private binding(start: NamedStart): Notice | undefined {
        const notice = this.notices.get(start.id);
        return notice !== undefined && this.binds(notice, start) ? notice : undefined;
    }

    private binds(notice: Notice, start: NamedStart): boolean {
        const { startedAtMs = 0 } = start;
        if (startedAtMs > 0) {
            // What an upstream said after a start began was said by that start, whichever was listed then.
            return startedAtMs <= notice.startedAtMs || couldSay(startedAtMs, notice.saidAtUnixMs);
        }
        const endpoint = endpointOf(start);
        const isElsewhere = endpoint !== undefined && notice.endpoint !== undefined && endpoint !== notice.endpoint;
        return !isElsewhere && this.options.clock.nowMs() < Math.max(notice.notedAtMs + unnamedStartMs, notice.restUntilMs);
    }
}

/** Whether it was this start or a later one that said something at a time of day. */
const couldSay = (startedAtMs: number, saidAtUnixMs: number): boolean => startedAtMs + clockSkewMs <= saidAtUnixMs;

const endpointOf = ({ address, port }: NamedStart): string | undefined =>
    address === undefined ? undefined : `${address}:${String(port)}`;
