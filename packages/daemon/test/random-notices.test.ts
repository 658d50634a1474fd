/**
 * Upstreams that say at random moments whatever they may say of themselves: that they leave, for how long they want nothing, how much they
 * take, and their load, in answers and in answers to probes, several of it at once. Departures, backoffs and limits were each found
 * unheard by somebody else's record; what is added next is to be found here.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assertLimitsRespected, baseRequestsPerSecond, runScenario, upstreamsOf } from "./model/limit-scenario.js";
import type { ModelFleet } from "./model/model-fleet.js";
import type { ModelUpstream } from "./model/model-upstream.js";

/** What an upstream may say, each drawn anew. */
const words: readonly ((upstream: ModelUpstream, random: SeededRandom, fleet: ModelFleet) => void)[] = [
    (upstream, random) => upstream.announceLimit(random.next() < 0.3 ? undefined : 10 ** (2.5 * random.next() - 1)),
    (upstream, random, { clock }) => {
        upstream.rejection = { untilMs: clock.nowMs() + 1500 * random.next(), backoffMs: 100 + 2000 * random.next() };
    },
    (upstream, random, fleet) => {
        // Some stay, so that callers have somewhere to go.
        const staying = upstreamsOf(fleet).filter(({ isDraining }) => !isDraining).length;
        upstream.isDraining ||= random.next() < 0.2 && staying > 3;
    },
];

describe("upstreams that say everything at random are heeded", () => {
    Array.from({ length: 12 }, (_, seed) => seed + 1).forEach(seed => {
        test(`seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            return runScenario({ seed, instances: 3 + Math.floor(12 * random.next()), connectMs: seed % 3 }, async fleet => {
                for (let round = 0; round < 8; round += 1) {
                    upstreamsOf(fleet).forEach(upstream =>
                        words.filter(() => random.next() < 0.3).forEach(word => word(upstream, random, fleet))
                    );
                    await fleet.load(baseRequestsPerSecond * (0.2 + random.next()), 500 + 2500 * random.next());
                }
                await fleet.clock.advance(5000);
                assertLimitsRespected(fleet);
                assert.deepEqual(
                    upstreamsOf(fleet).map((
                        { backoffViolations, requestsWhileDraining },
                    ) => [backoffViolations, requestsWhileDraining]),
                    upstreamsOf(fleet).map(() => [0, 0]),
                );
                assert.equal(fleet.results.length, fleet.callersStarted);
            });
        });
    });
});
