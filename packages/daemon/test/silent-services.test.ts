import { FakeClock, serviceName } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentServices } from "../src/upstream/silent-services.js";

const name = serviceName("main");

const note = (silent: SilentServices, result: "told" | "silent" | "failed", times: number): void =>
    Array.from({ length: times }).forEach(() => silent.note(name, result));

test("a service that tells nothing eight times in a row is left alone for ten seconds, others are not", async () => {
    const clock = new FakeClock();
    const silent = new SilentServices(clock);
    note(silent, "silent", 7);
    assert.equal(silent.includes(name), false);
    note(silent, "silent", 1);
    assert.deepEqual([silent.includes(name), silent.includes(serviceName("other"))], [true, false]);
    await clock.advance(10_001);
    assert.equal(silent.includes(name), false);
});

test("one answer that tells its load keeps a service in, failed probes say nothing", () => {
    const silent = new SilentServices(new FakeClock());
    note(silent, "silent", 7);
    note(silent, "told", 1);
    note(silent, "failed", 20);
    note(silent, "silent", 7);
    assert.equal(silent.includes(name), false);
});
