/**
 * Guards against requests that wait for newer state while the platform is away, and against requests that do not wait although it
 * responds, because a busy instance takes it to be away.
 */

import { defaultFleetTimes } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { memberName, startLink } from "./model/test-link.js";

describe("requests may be routed by state beyond the bound", () => {
    const staleMs = defaultFleetTimes.boundMs;
    const longPollMs = defaultFleetTimes.confirmMs;

    test("by an instance that is alone", async () => {
        const { link } = await startLink([]);
        link.stop();
        assert.equal(link.mayBeOverdue, true);
    });

    test("by none that the platform responds to", async () => {
        const { clock, link } = await startLink([memberName(false)]);
        for (let passedMs = 0; passedMs < 10_000; passedMs += 50) {
            await clock.advance(50);
            assert.equal(link.mayBeOverdue, false);
        }
        link.stop();
    });

    test("while the platform rejects calls, and not after that", async () => {
        const { clock, platform, link } = await startLink([memberName(false)]);
        await clock.advance(100);
        platform.isDown = true;
        await clock.advance(2 * staleMs);
        assert.equal(link.mayBeOverdue, true);
        platform.isDown = false;
        await clock.advance(1000);
        link.stop();
        assert.equal(link.mayBeOverdue, false);
    });

    const silences = [
        { name: "while a call is not answered in time", isBehind: false, beginsResponse: false, expected: true },
        { name: "not while a busy process may not have read the answer", isBehind: true, beginsResponse: false, expected: false },
        { name: "not while the answer is arriving", isBehind: false, beginsResponse: true, expected: false },
    ];
    silences.forEach(({ name, isBehind, beginsResponse, expected }) => {
        test(name, async () => {
            const { clock, platform, link, stall } = await startLink([memberName(false)]);
            await clock.advance(600);
            platform.isSilent = true;
            platform.beginsResponse = beginsResponse;
            stall.isBehind = isBehind;
            // The watch in progress ends; the next one is held for as long again.
            await clock.advance(1.7 * longPollMs);
            assert.equal(link.mayBeOverdue, false);
            await clock.advance(500);
            link.stop();
            assert.equal(link.mayBeOverdue, expected);
        });
    });
});
