/**
 * Gossip about draining upstreams.
 *
 * A drain message states that one incarnation of an upstream drains. Messages about an upstream are ordered by the start
 * of the incarnation only, so the state converges whatever the order and number of deliveries. Only the first copy of a
 * message makes an instance start exchanges; regular exchanges repeat it until its age exceeds a limit. Ages must not order
 * messages: each hop makes them younger, and two observers of one drain would keep all instances gossiping.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "@harrierhitch/core";
import { type Observation as ObservationMessage, ObservationSchema } from "@harrierhitch/protocol";

/** A message from another instance that an incarnation of an upstream drains. */
export interface DrainMessage {
    readonly upstream: string;
    /** Start of the incarnation in milliseconds since the Unix epoch; 0 if unknown. */
    readonly startedAtMs: number;
    /** When the draining was observed, on this instance's clock. */
    readonly atMs: number;
}

interface DrainRecord {
    readonly startedAtMs: number;
    readonly observedAtMs: number;
    /** When this instance recorded it; determines its retention, whatever the age in the message. */
    readonly recordedAtMs: number;
}

/** Options of {@link DrainGossip}. */
export interface DrainGossipOptions {
    readonly clock: Clock;
}

/** Time for which a message is gossiped, in milliseconds; longer than it takes to reach all instances. */
const gossipMs = 10_000;

/** Time for which a message is retained, in milliseconds; longer than it is gossiped, so that delayed copies are recognised. */
const retentionMs = 60_000;

/** Maximum number of messages in one exchange; the latest are sent. */
const maximumPerExchange = 32;

/** Stores the latest draining incarnation of each upstream. */
export class DrainGossip {
    private readonly records = new Map<string, DrainRecord>();

    /** @param options - The clock. */
    constructor(private readonly options: DrainGossipOptions) {}

    /**
     * Records a draining upstream that this instance observed itself.
     *
     * @param upstream - Id of the upstream.
     * @param startedAtMs - Start of its incarnation in milliseconds since the Unix epoch; 0 if unknown.
     * @returns Whether it was not recorded before.
     */
    record(upstream: string, startedAtMs: number): boolean {
        return this.put(upstream, startedAtMs, this.options.clock.nowMs());
    }

    /** Returns the messages to send in an exchange, with their ages. */
    pending(): readonly ObservationMessage[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.records]
            .filter(([, { observedAtMs }]) => nowMs - observedAtMs < gossipMs)
            .sort(([, a], [, b]) => b.observedAtMs - a.observedAtMs)
            .slice(0, maximumPerExchange)
            .map(([upstream, { startedAtMs, observedAtMs }]) =>
                create(ObservationSchema, { upstream, startedAtMs: BigInt(startedAtMs), ageMs: nowMs - observedAtMs })
            );
    }

    /** Merges received messages; returns those that were not recorded before. */
    merge(messages: readonly ObservationMessage[]): readonly DrainMessage[] {
        this.evictExpired();
        const nowMs = this.options.clock.nowMs();
        return messages.flatMap(({ upstream, startedAtMs: startedAt, ageMs }) => {
            const startedAtMs = Number(startedAt);
            const atMs = nowMs - Math.max(0, ageMs);
            return this.put(upstream, startedAtMs, atMs) ? [{ upstream, startedAtMs, atMs }] : [];
        });
    }

    private put(upstream: string, startedAtMs: number, observedAtMs: number): boolean {
        const existing = this.records.get(upstream);
        if (existing !== undefined && existing.startedAtMs >= startedAtMs) {
            return false;
        }
        this.records.set(upstream, { startedAtMs, observedAtMs, recordedAtMs: this.options.clock.nowMs() });
        return true;
    }

    private evictExpired(): void {
        const oldestMs = this.options.clock.nowMs() - retentionMs;
        this.records.forEach(({ recordedAtMs }, upstream) => {
            if (recordedAtMs < oldestMs) {
                this.records.delete(upstream);
            }
        });
    }
}
