/**
 * Values for one incarnation of each upstream, stored separately from the directory.
 *
 * Estimates are removed together with an upstream's directory entry; notices that the upstream sent about itself are not. They
 * still apply when the entry lapses and returns with the same incarnation.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** An incarnation of an upstream, as far as the sender of the information identifies it. */
export interface UpstreamIncarnation {
    readonly id: UpstreamId;
    readonly address?: string;
    readonly port?: number;
    /** When it began, in milliseconds since the Unix epoch; 0 or absent if unknown. */
    readonly startedAtMs?: number | undefined;
}

interface StoredValue<Value> {
    /** When the incarnation began, in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
    /** Address and port, which identify an incarnation whose start is unknown. */
    readonly endpoint: string | undefined;
    /** When the upstream itself last sent a notice, in milliseconds since the Unix epoch; 0 if only others reported it. */
    readonly saidAtUnixMs: number;
    readonly recordedAtMs: number;
    readonly value: Value;
}

/** Options of {@link IncarnationMap}. */
export interface IncarnationMapOptions<Value> {
    readonly clock: Clock;
    /** Returns until when a value applies at least to an incarnation whose start is unknown, on the clock of this instance. */
    readonly lastsUntilMs: (value: Value) => number;
}

/** Most upstreams for which a value is stored, some 100 bytes each: a third of all upstreams at the size to design for. */
const maximumEntries = 4096;

/**
 * Time for which an incarnation whose start is unknown counts as the same when its upstream is listed again, in milliseconds:
 * entries that lapsed during an outage of the platform return within seconds of its recovery.
 */
const unidentifiedIncarnationMs = 60_000;

/** Largest difference between the clocks of two machines that is tolerated, in milliseconds. */
const clockSkewMs = 1000;

/** Stores a value for each upstream, which applies until a later incarnation of it is known. */
export class IncarnationMap<Value> {
    private readonly entries = new Map<UpstreamId, StoredValue<Value>>();

    /** @param options - The clock, and how long values last. */
    constructor(private readonly options: IncarnationMapOptions<Value>) {}

    /**
     * Changes the value of an incarnation, unless a later one is stored that cannot have sent the notice.
     *
     * @param incarnation - The incarnation.
     * @param saidAtUnixMs - When the upstream itself sent the notice, in milliseconds since the Unix epoch; 0 if others
     *   reported it.
     * @param next - Returns the new value from the one stored for this incarnation.
     */
    put(incarnation: UpstreamIncarnation, saidAtUnixMs: number, next: (previous: Value | undefined) => Value): void {
        const { startedAtMs = 0 } = incarnation;
        const stored = this.entries.get(incarnation.id);
        const isOutdated = stored !== undefined && startedAtMs > 0 && startedAtMs < stored.startedAtMs
            && !mayHaveSent(stored.startedAtMs, saidAtUnixMs);
        if (isOutdated) {
            return;
        }
        // A notice about an incarnation whose start is unknown applies to the stored one, and must not replace its value.
        const previous = startedAtMs === 0 && stored !== undefined && stored.startedAtMs > 0
            ? stored
            : this.findApplicable(incarnation);
        // Inserted last, so that the oldest entries are evicted first.
        this.entries.delete(incarnation.id);
        this.entries.set(incarnation.id, {
            startedAtMs: Math.max(startedAtMs, previous?.startedAtMs ?? 0),
            endpoint: endpointOf(incarnation) ?? previous?.endpoint,
            saidAtUnixMs: Math.max(saidAtUnixMs, previous?.saidAtUnixMs ?? 0),
            recordedAtMs: this.options.clock.nowMs(),
            value: next(previous?.value),
        });
        [...this.entries.keys()].slice(0, Math.max(0, this.entries.size - maximumEntries)).forEach(id => this.entries.delete(id));
    }

    get isEmpty(): boolean {
        return this.entries.size === 0;
    }

    /** Returns the value stored for an upstream, if it applies to this incarnation. */
    find(incarnation: UpstreamIncarnation): Value | undefined {
        return this.findApplicable(incarnation)?.value;
    }

    private findApplicable(incarnation: UpstreamIncarnation): StoredValue<Value> | undefined {
        const stored = this.entries.get(incarnation.id);
        return stored !== undefined && this.appliesTo(stored, incarnation) ? stored : undefined;
    }

    private appliesTo(stored: StoredValue<Value>, incarnation: UpstreamIncarnation): boolean {
        const { startedAtMs = 0 } = incarnation;
        if (startedAtMs > 0) {
            // A notice that the upstream sent after an incarnation began was sent by that incarnation, whichever one was listed
            // then.
            return startedAtMs <= stored.startedAtMs || mayHaveSent(startedAtMs, stored.saidAtUnixMs);
        }
        const endpoint = endpointOf(incarnation);
        const isOtherEndpoint = endpoint !== undefined && stored.endpoint !== undefined && endpoint !== stored.endpoint;
        const { clock, lastsUntilMs } = this.options;
        return !isOtherEndpoint
            && clock.nowMs() < Math.max(stored.recordedAtMs + unidentifiedIncarnationMs, lastsUntilMs(stored.value));
    }
}

/** Whether this incarnation or a later one may have sent a notice at a given time. */
const mayHaveSent = (startedAtMs: number, saidAtUnixMs: number): boolean => startedAtMs + clockSkewMs <= saidAtUnixMs;

const endpointOf = ({ address, port }: UpstreamIncarnation): string | undefined =>
    address === undefined ? undefined : `${address}:${String(port)}`;
