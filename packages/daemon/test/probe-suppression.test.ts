/**
 * Guards against probing a service that returns no load reports, and against suppressing one that does.
 */

import { FakeClock, serviceName } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeSuppression } from "../src/upstream/probe-suppression.js";

const name = serviceName("main");

const recordResults = (suppression: ProbeSuppression, result: "told" | "silent" | "failed", times: number): void =>
    Array.from({ length: times }).forEach(() => suppression.recordResult(name, result));

test("a service without a load report in eight probes in a row is not probed for ten seconds, others are", async () => {
    const clock = new FakeClock();
    const suppression = new ProbeSuppression(clock);
    recordResults(suppression, "silent", 7);
    assert.equal(suppression.isSuppressed(name), false);
    recordResults(suppression, "silent", 1);
    assert.deepEqual([suppression.isSuppressed(name), suppression.isSuppressed(serviceName("other"))], [true, false]);
    await clock.advance(10_001);
    assert.equal(suppression.isSuppressed(name), false);
});

test("one load report prevents the suppression of a service, and failed probes do not count", () => {
    const suppression = new ProbeSuppression(new FakeClock());
    recordResults(suppression, "silent", 7);
    recordResults(suppression, "told", 1);
    recordResults(suppression, "failed", 20);
    recordResults(suppression, "silent", 7);
    assert.equal(suppression.isSuppressed(name), false);
});
