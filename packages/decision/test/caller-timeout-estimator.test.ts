/** Guards against retries that count as new requests, and new requests that count as retries. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerTimeoutEstimator } from "../src/index.js";

test("a retry is recognised by its partly used timeout", () => {
    const estimator = new CallerTimeoutEstimator();
    Array.from({ length: 20 }, () => assert.equal(estimator.record("read", 4000), 0));
    assert.equal(estimator.record("read", 2700), 1300);
    assert.equal(estimator.record("issue", 2700), 0);
});

test("a few callers with a longer timeout do not make all others look like retries", () => {
    const estimator = new CallerTimeoutEstimator();
    Array.from({ length: 60 }, (_, index) => estimator.record("read", index % 10 === 0 ? 30_000 : 4000));
    assert.equal(estimator.record("read", 4000), 0);
});

test("there is no estimate before a few arrivals", () => {
    const estimator = new CallerTimeoutEstimator();
    Array.from({ length: 6 }, () => estimator.record("read", 4000));
    assert.equal(estimator.record("read", 1000), 0);
});
