/**
 * Observations of upstreams that are passed on from instance to instance.
 *
 * An observation is a fact that no clock orders: one start of an upstream leaves. Facts of one upstream are ordered by
 * its starts alone, so any order and any number of deliveries ends in the same state, and each instance takes each fact
 * as news once. Ages only end the passing on: ordered by them, a few observers of one departure would keep all instances telling
 * each other for good.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "@harrierhitch/core";
import { type Observation, ObservationSchema } from "@harrierhitch/protocol";

/** What another instance learned: that a start of an upstream leaves. */
export interface DrainMessage {
    readonly upstream: string;
    /** The start that leaves, in milliseconds since the Unix epoch; 0 when it is not known. */
    readonly startedAtMs: number;
    /** When it was learned, on this instance's clock. */
    readonly atMs: number;
}

interface Kept {
    readonly startedAtMs: number;
    readonly learnedAtMs: number;
    /** When this instance took it in: what it forgets by, whatever age it was told. */
    readonly takenAtMs: number;
}

/** Options of {@link DrainGossip}. */
export interface DrainGossipOptions {
    readonly clock: Clock;
}

/** Time for which an observation is passed on: longer than any exchange takes to reach everyone. */
const passOnMs = 10_000;

/**
 * Time for which an observation is remembered: far longer than it is passed on, since the time on its way is not part
 * of the age that is told. One that comes back late is then still known everywhere.
 */
const rememberMs = 60_000;

/** Most observations in one exchange, which bounds their bytes; the latest go first. */
const maximumPerExchange = 32;

/** Keeps, of each upstream, the latest start that is known to leave. */
export class DrainGossip {
    private readonly kept = new Map<string, Kept>();

    /** @param options - The clock. */
    constructor(private readonly options: DrainGossipOptions) {}

    /**
     * Notes what this instance learned itself.
     *
     * @param upstream - The upstream.
     * @param startedAtMs - The start that leaves, in milliseconds since the Unix epoch; 0 when it is not known.
     * @returns Whether it was not known.
     */
    record(upstream: string, startedAtMs: number): boolean {
        return this.put(upstream, startedAtMs, this.options.clock.nowMs());
    }

    /** The observations that are told in an exchange, with their ages. */
    pending(): readonly Observation[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.kept]
            .filter(([, { learnedAtMs }]) => nowMs - learnedAtMs < passOnMs)
            .sort(([, a], [, b]) => b.learnedAtMs - a.learnedAtMs)
            .slice(0, maximumPerExchange)
            .map(([upstream, { startedAtMs, learnedAtMs }]) =>
                create(ObservationSchema, { upstream, startedAtMs: BigInt(startedAtMs), ageMs: nowMs - learnedAtMs })
            );
    }

    /** Takes in observations; gives those that were not known. */
    merge(observations: readonly Observation[]): readonly DrainMessage[] {
        this.forgetOld();
        const nowMs = this.options.clock.nowMs();
        return observations.flatMap(({ upstream, startedAtMs: started, ageMs }) => {
            const startedAtMs = Number(started);
            const atMs = nowMs - Math.max(0, ageMs);
            return this.put(upstream, startedAtMs, atMs) ? [{ upstream, startedAtMs, atMs }] : [];
        });
    }

    private put(upstream: string, startedAtMs: number, learnedAtMs: number): boolean {
        const known = this.kept.get(upstream);
        if (known !== undefined && known.startedAtMs >= startedAtMs) {
            return false;
        }
        this.kept.set(upstream, { startedAtMs, learnedAtMs, takenAtMs: this.options.clock.nowMs() });
        return true;
    }

    private forgetOld(): void {
        const oldestMs = this.options.clock.nowMs() - rememberMs;
        this.kept.forEach(({ takenAtMs }, upstream) => {
            if (takenAtMs < oldestMs) {
                this.kept.delete(upstream);
            }
        });
    }
}
