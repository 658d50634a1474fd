/**
 * Observations of upstreams that are passed on from instance to instance.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock } from "@harrierhitch/core";
import { type Observation, ObservationSchema } from "@harrierhitch/protocol";

/** What an instance can tell others of an upstream. */
export type RumorType = "draining" | "returned";

/** An observation of another instance, with its time on this instance's clock. */
export interface HeardRumor {
    readonly upstream: string;
    readonly type: RumorType;
    readonly atMs: number;
}

interface Kept {
    readonly observation: Observation;
    readonly learnedAtMs: number;
}

/** Options of {@link Rumors}. */
export interface RumorsOptions {
    readonly clock: Clock;
    readonly instance: string;
    readonly incarnation: number;
}

/** Time for which an observation is passed on: longer than any exchange takes to reach everyone. */
const passOnMs = 10_000;

/** Most observations in one exchange, which bounds their bytes; the latest go first. */
const maximumPerExchange = 32;

/** Keeps the latest observation of each upstream for a while. */
export class Rumors {
    private readonly kept = new Map<string, Kept>();
    private count = 0n;

    /** @param options - Clock and this instance. */
    constructor(private readonly options: RumorsOptions) {}

    /** Notes what this instance learned itself. */
    learn(upstream: string, type: RumorType): void {
        this.count += 1n;
        const observation = create(ObservationSchema, {
            upstream,
            type,
            origin: this.options.instance,
            originIncarnation: BigInt(this.options.incarnation),
            number: this.count,
        });
        this.kept.set(upstream, { observation, learnedAtMs: this.options.clock.nowMs() });
    }

    /** The observations that are told in an exchange, with their ages. */
    news(): readonly Observation[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.kept.values()]
            .filter(kept => nowMs - kept.learnedAtMs < passOnMs)
            .sort((a, b) => b.learnedAtMs - a.learnedAtMs)
            .slice(0, maximumPerExchange)
            .map(kept => create(ObservationSchema, { ...kept.observation, ageMs: nowMs - kept.learnedAtMs }));
    }

    /**
     * Takes in observations; gives those that are later than what was known of
     * the same upstream. An older one never undoes a later one.
     */
    merge(observations: readonly Observation[]): readonly HeardRumor[] {
        const nowMs = this.options.clock.nowMs();
        return observations.flatMap(observation => {
            const { upstream, type } = observation;
            const learnedAtMs = nowMs - Math.max(0, observation.ageMs);
            const known = this.kept.get(upstream);
            const isKnown = known !== undefined && (isSame(known.observation, observation) || known.learnedAtMs >= learnedAtMs);
            if (isKnown || type !== "draining" && type !== "returned") {
                return [];
            }
            this.kept.set(upstream, { observation, learnedAtMs });
            return [{ upstream, type, atMs: learnedAtMs }];
        });
    }
}

const isSame = (a: Observation, b: Observation): boolean =>
    a.origin === b.origin && a.originIncarnation === b.originIncarnation && a.number === b.number;
