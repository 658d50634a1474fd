import { FakeClock, serviceName } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ProbeSuppression } from "../src/upstream/probe-suppression.js";

const name = serviceName("main");

const note = (silent: ProbeSuppression, result: "told" | "silent" | "failed", times: number): void =>
    Array.from({ length: times }).forEach(() => silent.recordResult(name, result));

test("a service that tells nothing eight times in a row is left alone for ten seconds, others are not", async () => {
    const clock = new FakeClock();
    const silent = new ProbeSuppression(clock);
    note(silent, "silent", 7);
    assert.equal(silent.isSuppressed(name), false);
    note(silent, "silent", 1);
    assert.deepEqual([silent.isSuppressed(name), silent.isSuppressed(serviceName("other"))], [true, false]);
    await clock.advance(10_001);
    assert.equal(silent.isSuppressed(name), false);
});

test("one answer that tells its load keeps a service in, failed probes say nothing", () => {
    const silent = new ProbeSuppression(new FakeClock());
    note(silent, "silent", 7);
    note(silent, "told", 1);
    note(silent, "failed", 20);
    note(silent, "silent", 7);
    assert.equal(silent.isSuppressed(name), false);
});
