import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LatencyBaselines } from "../src/index.js";

test("nothing is known before a few answers", () => {
    const times = new LatencyBaselines(new FakeClock());
    Array.from({ length: 7 }, () => times.record("read", 50));
    assert.equal(times.baselineOf("read"), undefined);
    times.record("read", 50);
    assert.equal(times.baselineOf("read"), 70);
    assert.equal(times.baselineOf("issue"), undefined);
});

test("queueing of most answers does not pass for usual work", () => {
    const times = new LatencyBaselines(new FakeClock());
    Array.from({ length: 64 }, (_, index) => times.record("read", index % 8 === 0 ? 60 : 900));
    assert.equal(times.baselineOf("read"), 84);
});

test("what took long ago is forgotten", () => {
    const times = new LatencyBaselines(new FakeClock());
    Array.from({ length: 64 }, () => times.record("read", 10));
    Array.from({ length: 64 }, () => times.record("read", 100));
    assert.equal(times.baselineOf("read"), 140);
});

test("answers of upstreams that were expected to be slow tell of usual work by what was expected", () => {
    const times = new LatencyBaselines(new FakeClock());
    Array.from({ length: 64 }, () => times.record("read", 300, 3));
    assert.equal(times.baselineOf("read"), 140);
});

test("an instance that refuses everything forgets the busy moment that it learned from", async () => {
    const clock = new FakeClock();
    const times = new LatencyBaselines(clock);
    Array.from({ length: 64 }, () => times.record("read", 900, 2));
    await clock.advance(9000);
    assert.equal(times.baselineOf("read"), undefined);
});

test("answers of a busy moment do not replace what idle upstreams showed", async () => {
    const clock = new FakeClock();
    const times = new LatencyBaselines(clock);
    Array.from({ length: 8 }, () => times.record("read", 100));
    await clock.advance(20_000);
    Array.from({ length: 200 }, () => times.record("read", 900, 2));
    assert.equal(times.baselineOf("read"), 140);
});
