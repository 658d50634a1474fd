/**
 * Guards against ignored notices: upstreams announce limits, backoffs and draining at random times, several at once.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./model/limit-scenario.js";
import type { ModelFleet } from "./model/model-fleet.js";
import type { ModelUpstream } from "./model/model-upstream.js";

/** The notices that an upstream may announce, with random values. */
const notices: readonly ((upstream: ModelUpstream, random: SeededRandom, fleet: ModelFleet) => void)[] = [
    (upstream, random) => upstream.announceLimit(random.next() < 0.3 ? undefined : 10 ** (2.5 * random.next() - 1)),
    (upstream, random, { clock }) => {
        upstream.rejection = { untilMs: clock.nowMs() + 1500 * random.next(), backoffMs: 100 + 2000 * random.next() };
    },
    (upstream, random, fleet) => {
        // Some upstreams keep accepting requests.
        const remaining = upstreamsOf(fleet).filter(({ isDraining }) => !isDraining).length;
        upstream.isDraining ||= random.next() < 0.2 && remaining > 3;
    },
];

describe("random notices of upstreams are respected", () => {
    Array.from({ length: 12 }, (_, seed) => seed + 1).forEach(seed => {
        test(`seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            return runScenario({ seed, instances: 3 + Math.floor(12 * random.next()), connectMs: seed % 3 }, async fleet => {
                for (let round = 0; round < 8; round += 1) {
                    upstreamsOf(fleet).forEach(upstream =>
                        notices.filter(() => random.next() < 0.3).forEach(announce => announce(upstream, random, fleet))
                    );
                    await fleet.load(usualPerSecond * (0.2 + random.next()), 500 + 2500 * random.next());
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
