/**
 * Guards against callers that take all of the memory for data of callers, or wait for it without end.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { CallerMemory } from "../src/request/caller-memory.js";
import { ReadingReserve } from "../src/request/reading-reserve.js";
import { RequestTurns } from "../src/request/request-turns.js";

/** Far longer than any wait for the reserve, in milliseconds. */
const longMs = 10_000;

describe("the memory for data of callers", () => {
    test("is shared: one connection gets at most half of it, and each of many gets less", () => {
        const memory = new CallerMemory();
        const total = memory.shareBytes;
        memory.add(total / 2);
        assert.equal(memory.shareBytes, total / 2);
        memory.add(total / 4);
        assert.equal(memory.shareBytes, total / 4);
    });

    test("leaves each connection something, though all of it is used up", () => {
        const memory = new CallerMemory();
        memory.add(memory.shareBytes * 2);
        assert.ok(memory.shareBytes > 0);
    });

    test("tells the connections that wait once some of it is released", async () => {
        const memory = new CallerMemory();
        let retries = 0;
        const waiter = { retryReading: () => retries += 1 };
        memory.addWaiter(waiter);
        memory.add(10);
        memory.add(-5);
        memory.add(-5);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(retries, 1);
        memory.removeWaiter(waiter);
        memory.add(-1);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(retries, 1);
    });
});

describe("the reserve for reading beyond a share", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
    afterEach(() => mock.timers.reset());

    test("is had by one connection at a time, in order", async () => {
        const reserve = new ReadingReserve();
        const holders = [{}, {}, {}];
        const taken: number[] = [];
        holders.forEach((holder, index) => void reserve.take(holder).then(isTaken => isTaken ? taken.push(index) : undefined));
        await Promise.resolve();
        assert.deepEqual(taken, [0]);
        reserve.giveBack(holders[1]!);
        reserve.giveBack(holders[0]!);
        await Promise.resolve();
        assert.deepEqual(taken, [0, 1]);
        reserve.giveBack(holders[1]!);
        await Promise.resolve();
        assert.deepEqual(taken, [0, 1, 2]);
    });

    test("is refused to those who would wait for long", async () => {
        const reserve = new ReadingReserve();
        const first = {};
        assert.equal(await reserve.take(first), true);
        assert.equal(await reserve.take(first), true);
        const second = reserve.take({});
        mock.timers.tick(longMs);
        assert.equal(await second, false);
        reserve.giveBack(first);
        assert.equal(await reserve.take({}), true);
    });
});

describe("pipelined requests", () => {
    /** Begins requests, and returns what each of them has to wait for. */
    const begin = (turns: RequestTurns, count: number): readonly (Promise<void> | undefined)[] =>
        Array.from({ length: count }, (_, index) => {
            turns.begin();
            return turns.wait(index);
        });

    test("beyond a number wait for earlier ones, in order", async () => {
        const turns = new RequestTurns();
        const waits = begin(turns, 70);
        const started: number[] = [];
        waits.forEach((wait, index) => void wait?.then(() => started.push(index)));
        const waiting = waits.filter(wait => wait !== undefined).length;
        assert.ok(waiting > 0);
        turns.finish();
        await Promise.resolve();
        assert.deepEqual(started, [70 - waiting]);
        turns.finish();
        await Promise.resolve();
        assert.deepEqual(started, [70 - waiting, 71 - waiting]);
    });

    test("wait no longer once their caller has left", async () => {
        const turns = new RequestTurns();
        const waits = begin(turns, 70);
        turns.releaseAll();
        await Promise.all(waits.filter(wait => wait !== undefined));
    });
});
