import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerTimeoutEstimator } from "../src/index.js";

test("callers who have waited before are told by what is left of their patience", () => {
    const patience = new CallerTimeoutEstimator();
    Array.from({ length: 20 }, () => assert.equal(patience.record("read", 4000), 0));
    assert.equal(patience.record("read", 2700), 1300);
    assert.equal(patience.record("issue", 2700), 0);
});

test("a few callers of longer patience do not make all others look late", () => {
    const patience = new CallerTimeoutEstimator();
    Array.from({ length: 60 }, (_, index) => patience.record("read", index % 10 === 0 ? 30_000 : 4000));
    assert.equal(patience.record("read", 4000), 0);
});

test("nothing is known before a few arrivals", () => {
    const patience = new CallerTimeoutEstimator();
    Array.from({ length: 6 }, () => patience.record("read", 4000));
    assert.equal(patience.record("read", 1000), 0);
});
