/**
 * Tests of the rate limits of upstreams while instances fail.
 */

import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./limit-scenario.js";
import type { ModelFleet } from "./model-fleet.js";

/** What happens to a fleet, by its name; the index is that of an instance. */
export type LimitFailures = Readonly<Record<string, (fleet: ModelFleet, index: number) => void>>;

/** Tests that upstreams receive no more requests than they announce while each of some failures happens twice. */
export const testLimitFailures = (failures: LimitFailures): void => {
    describe("the limit is respected by all instances together when", () => {
        Object.entries(failures).forEach(([name, fail]) => {
            [1, 2].forEach(seed => {
                test(`${name}, seed ${seed}`, () =>
                    runScenario({ seed }, async fleet => {
                        await fleet.load(usualPerSecond, 2000);
                        upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
                        await fleet.load(usualPerSecond, 4000);
                        fail(fleet, 4);
                        await fleet.load(usualPerSecond, 6000);
                        fail(fleet, 7);
                        await fleet.load(usualPerSecond, 8000);
                        assertLimitsRespected(fleet);
                    }));
            });
        });
    });
};
