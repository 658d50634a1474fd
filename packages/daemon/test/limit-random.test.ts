/**
 * Guards against exceeding rate limits that upstreams announce, change and remove at random times.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf } from "./model/limit-scenario.js";

describe("limits announced at random times are respected", () => {
    Array.from({ length: 8 }, (_, seed) => seed + 1).forEach(seed => {
        test(`with random values, seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            return runScenario({ seed, instances: 3 + Math.floor(16 * random.next()) }, async fleet => {
                for (let round = 0; round < 6; round += 1) {
                    upstreamsOf(fleet).filter(() => random.next() < 0.4).forEach(upstream =>
                        upstream.announceLimit(random.next() < 0.2 ? undefined : 10 ** (2 * random.next() - 1))
                    );
                    await fleet.load(20 + 80 * random.next(), 1000 + 4000 * random.next());
                }
                assertLimitsRespected(fleet);
                await fleet.clock.advance(4000);
                assert.equal(fleet.results.length, fleet.callersStarted);
            });
        });
    });
});
