import assert from "node:assert/strict";
import { test } from "node:test";
import { UsualPatience } from "../src/index.js";

test("callers who have waited before are told by what is left of their patience", () => {
    const patience = new UsualPatience();
    Array.from({ length: 20 }, () => assert.equal(patience.note("read", 4000), 0));
    assert.equal(patience.note("read", 2700), 1300);
    assert.equal(patience.note("issue", 2700), 0);
});

test("a few callers of longer patience do not make all others look late", () => {
    const patience = new UsualPatience();
    Array.from({ length: 60 }, (_, index) => patience.note("read", index % 10 === 0 ? 30_000 : 4000));
    assert.equal(patience.note("read", 4000), 0);
});

test("nothing is known before a few arrivals", () => {
    const patience = new UsualPatience();
    Array.from({ length: 6 }, () => patience.note("read", 4000));
    assert.equal(patience.note("read", 1000), 0);
});
