/**
 * Guards against a planned stop that ends by a constant: long before the process is killed, or after it.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { stopPlan } from "../src/stop-plan.js";

const stopDelayMs = 2600;

describe("a planned stop", () => {
    [250, 1000, 2000, 4000, 6000, 10_000, 30_000, 600_000].forEach(stopMs => {
        test(`of ${stopMs} ms has its steps in their order, and ends shortly before the process is killed`, () => {
            const { portClosesMs, requestsEndMs, connectionsEndMs, processEndsMs } = stopPlan({ stopDelayMs, stopMs });
            const steps = [0, portClosesMs, requestsEndMs, connectionsEndMs, processEndsMs, stopMs];
            assert.ok(steps.every((step, index) => index === 0 || step > (steps[index - 1] ?? 0)), steps.join(", "));
            // Requests at work until the last sixth of the time have their responses.
            assert.ok(requestsEndMs > stopMs * 5 / 6);
        });
    });

    test("keeps the port open for the delay, however long the requests may take", () => {
        assert.deepEqual([6000, 10_000, 30_000].map(stopMs => stopPlan({ stopDelayMs, stopMs }).portClosesMs), [
            2600,
            2600,
            2600,
        ]);
    });

    test("closes the port earlier if the requests that arrive last would have less time than that", () => {
        const { portClosesMs, requestsEndMs } = stopPlan({ stopDelayMs, stopMs: 2000 });
        assert.equal(portClosesMs, requestsEndMs / 2);
    });
});
