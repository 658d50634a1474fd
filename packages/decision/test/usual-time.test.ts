import assert from "node:assert/strict";
import { test } from "node:test";
import { UsualTimes } from "../src/index.js";

test("nothing is known before a few answers", () => {
    const times = new UsualTimes();
    Array.from({ length: 7 }, () => times.observe("read", 50));
    assert.equal(times.of("read"), undefined);
    times.observe("read", 50);
    assert.equal(times.of("read"), 70);
    assert.equal(times.of("issue"), undefined);
});

test("queueing of most answers does not pass for usual work", () => {
    const times = new UsualTimes();
    Array.from({ length: 64 }, (_, index) => times.observe("read", index % 8 === 0 ? 60 : 900));
    assert.equal(times.of("read"), 84);
});

test("what took long ago is forgotten", () => {
    const times = new UsualTimes();
    Array.from({ length: 64 }, () => times.observe("read", 10));
    Array.from({ length: 64 }, () => times.observe("read", 100));
    assert.equal(times.of("read"), 140);
});
