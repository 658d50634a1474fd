/**
 * What is remembered of one start of each upstream, kept apart from what is listed.
 *
 * Beliefs end with an upstream's entry; a word that an upstream gave does not. An entry that lapses and comes back, or cannot be
 * read for a while, names the same start, and what that one said still binds.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** A start of an upstream, as far as whoever tells of it names it. */
export interface UpstreamIncarnation {
    readonly id: UpstreamId;
    readonly address?: string;
    readonly port?: number;
    /** When it began, in milliseconds since the Unix epoch; 0 or absent where that is not known. */
    readonly startedAtMs?: number | undefined;
}

interface Kept<Value> {
    /** The start that is meant; 0 where that is not known. */
    readonly startedAtMs: number;
    /** Address and port of a start that is not known otherwise. */
    readonly endpoint: string | undefined;
    /** When the upstream itself last said something, in milliseconds since the Unix epoch; 0 where only others told. */
    readonly saidAtUnixMs: number;
    readonly notedAtMs: number;
    readonly value: Value;
}

/** Options of {@link ByStart}. */
export interface ByStartOptions<Value> {
    readonly clock: Clock;
    /** Until when a value binds a start that is not named at least, on the clock of this instance. */
    readonly lastsUntilMs: (value: Value) => number;
}

/** Most upstreams of which something is kept, some 100 bytes each: a third of all upstreams at the size to design for. */
const maximumKept = 4096;

/**
 * Time for which a start that is not named counts as the same when its upstream is listed again, in milliseconds: entries
 * that lapsed while the platform was away are back within seconds of its return.
 */
const unnamedStartMs = 60_000;

/** Most by which the times of day of two machines are taken to differ, in milliseconds. */
const clockSkewMs = 1000;

/** Remembers a value for each upstream, which binds until another start of it is known. */
export class ByStart<Value> {
    private readonly kept = new Map<UpstreamId, Kept<Value>>();

    /** @param options - The clock, and how long values last. */
    constructor(private readonly options: ByStartOptions<Value>) {}

    /**
     * Changes what is kept of a start, unless a later one is known that did not say it.
     *
     * @param start - The start.
     * @param saidAtUnixMs - When the upstream said so itself, in milliseconds since the Unix epoch; 0 where others told.
     * @param next - Makes the value of what was kept of this start before.
     */
    put(start: UpstreamIncarnation, saidAtUnixMs: number, next: (before: Value | undefined) => Value): void {
        const { startedAtMs = 0 } = start;
        const known = this.kept.get(start.id);
        const isOutdated = known !== undefined && startedAtMs > 0 && startedAtMs < known.startedAtMs
            && !couldSay(known.startedAtMs, saidAtUnixMs);
        if (isOutdated) {
            return;
        }
        // News of a start without a name are taken to be of the one that is known: they must not displace what binds it.
        const before = startedAtMs === 0 && known !== undefined && known.startedAtMs > 0 ? known : this.binding(start);
        // Noted last, so that the oldest are dropped first.
        this.kept.delete(start.id);
        this.kept.set(start.id, {
            startedAtMs: Math.max(startedAtMs, before?.startedAtMs ?? 0),
            endpoint: endpointOf(start) ?? before?.endpoint,
            saidAtUnixMs: Math.max(saidAtUnixMs, before?.saidAtUnixMs ?? 0),
            notedAtMs: this.options.clock.nowMs(),
            value: next(before?.value),
        });
        [...this.kept.keys()].slice(0, Math.max(0, this.kept.size - maximumKept)).forEach(id => this.kept.delete(id));
    }

    /** Whether nothing is kept. */
    get isEmpty(): boolean {
        return this.kept.size === 0;
    }

    /** What is kept of an upstream, if it binds this start of it. */
    find(start: UpstreamIncarnation): Value | undefined {
        return this.binding(start)?.value;
    }

    private binding(start: UpstreamIncarnation): Kept<Value> | undefined {
        const kept = this.kept.get(start.id);
        return kept !== undefined && this.binds(kept, start) ? kept : undefined;
    }

    private binds(kept: Kept<Value>, start: UpstreamIncarnation): boolean {
        const { startedAtMs = 0 } = start;
        if (startedAtMs > 0) {
            // What an upstream said after a start began was said by that start, whichever was listed then.
            return startedAtMs <= kept.startedAtMs || couldSay(startedAtMs, kept.saidAtUnixMs);
        }
        const endpoint = endpointOf(start);
        const isElsewhere = endpoint !== undefined && kept.endpoint !== undefined && endpoint !== kept.endpoint;
        const { clock, lastsUntilMs } = this.options;
        return !isElsewhere && clock.nowMs() < Math.max(kept.notedAtMs + unnamedStartMs, lastsUntilMs(kept.value));
    }
}

/** Whether it was this start or a later one that said something at a time of day. */
const couldSay = (startedAtMs: number, saidAtUnixMs: number): boolean => startedAtMs + clockSkewMs <= saidAtUnixMs;

const endpointOf = ({ address, port }: UpstreamIncarnation): string | undefined =>
    address === undefined ? undefined : `${address}:${String(port)}`;
