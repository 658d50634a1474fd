/**
 * Guards against limits that are applied late, or still applied after their end, and against invalid ones that are applied.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./model/limit-scenario.js";

describe("a limit", () => {
    test("applies to requests that were waiting for a connection when it was received", () =>
        runScenario({ instances: 1, upstreams: 1, connectMs: 20, isJoined: false }, async fleet => {
            const [only] = upstreamsOf(fleet);
            await fleet.load(20, 4000);
            await fleet.clock.advance(1000);
            const { arrivals } = only!;
            only!.announceLimit(0.05);
            await fleet.startCallers(1);
            await fleet.clock.advance(90);
            await fleet.startCallers(8);
            await fleet.clock.advance(500);
            assert.ok(only!.arrivals - arrivals <= 2, `${only!.arrivals - arrivals} requests`);
        }));

    [{ change: "is removed", perSecond: undefined }, { change: "is raised", perSecond: 100 }].forEach(({ change, perSecond }) => {
        test(`that ${change} is applied by all instances soon after`, () =>
            runScenario({ upstreams: 3 }, async fleet => {
                await fleet.load(usualPerSecond, 2000);
                const [first] = upstreamsOf(fleet);
                first!.announceLimit(2);
                await fleet.load(usualPerSecond, 8000);
                first!.announceLimit(perSecond);
                await fleet.load(usualPerSecond, 4000);
                const { arrivals } = first!;
                await fleet.load(usualPerSecond, 4000);
                assert.ok(first!.arrivals - arrivals > 50, `${first!.arrivals - arrivals} requests`);
                assertLimitsRespected(fleet);
            }));
    });

    test("of 0 is respected, and its removal is detected", () =>
        runScenario({ upstreams: 3 }, async fleet => {
            await fleet.load(usualPerSecond, 2000);
            const [first] = upstreamsOf(fleet);
            first!.announceLimit(0);
            await fleet.load(usualPerSecond, 12_000);
            assertLimitsRespected(fleet);
            const { arrivals } = first!;
            first!.announceLimit(undefined);
            await fleet.load(usualPerSecond, 30_000);
            assert.ok(first!.arrivals - arrivals > 100, `${first!.arrivals - arrivals} requests`);
        }));

    ["-3", "few", "", "3, 7", "1e9"].forEach(text => {
        test(`that is invalid (${JSON.stringify(text)}) is ignored`, () =>
            runScenario({ upstreams: 2 }, async fleet => {
                await fleet.load(usualPerSecond, 1000);
                const [first] = upstreamsOf(fleet);
                first!.limitHeader = text;
                const { arrivals } = first!;
                await fleet.load(usualPerSecond, 3000);
                assert.ok(first!.arrivals - arrivals > 60, `${first!.arrivals - arrivals} requests`);
            }));
    });
});
