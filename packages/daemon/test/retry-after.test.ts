import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { readBackoff } from "../src/request/response-notice.js";
import { readRetryAfter } from "../src/request/retry-after.js";

const now = "Thu, 03 Dec 2026 05:00:00 GMT";

interface Header {
    readonly text: string;
    readonly delayMs: number | undefined;
    readonly date?: string;
}

const readable: readonly Header[] = [
    { text: "3", delayMs: 3000 },
    { text: " 0.25 ", delayMs: 250 },
    { text: "0", delayMs: 0 },
    { text: "86400", delayMs: 86_400_000 },
    { text: "Thu, 03 Dec 2026 05:00:07 GMT", delayMs: 7000, date: now },
    { text: "Thu, 03 Dec 2026 04:00:00 GMT", delayMs: 0, date: now },
];

const unreadable: readonly Header[] = [
    ...["", "-3", "+3", "soon", "NaN", "Infinity", "1e9", "0x10", "3 s", "3, 4", "86401", "999999999999", ".5"],
    ...["3;q=1", "\u0663", "Thu, 99 Foo 2026 05:00:07 GMT", "Thu, 03 Dec 2026 05:00:07 GMT"],
].map(text => ({ text, delayMs: undefined }));

const read = ({ text, date }: Header) => readRetryAfter({ "retry-after": text, ...(date === undefined ? {} : { date }) });

describe("a Retry-After of", () => {
    readable.forEach(header => {
        test(`"${header.text}" is ${String(header.delayMs)} ms`, () => {
            assert.deepEqual(read(header), { delayMs: header.delayMs, unreadable: undefined });
        });
    });
    unreadable.forEach(header => {
        test(`"${header.text}" cannot be read, and is told as it is`, () => {
            assert.deepEqual(read(header), { delayMs: undefined, unreadable: header.text });
        });
    });
});

test("an overlong Retry-After is told cut", () => {
    assert.equal(readRetryAfter({ "retry-after": "x".repeat(5000) }).unreadable?.length, 64);
});

test("without the header there is nothing to wait for", () => {
    assert.deepEqual(readRetryAfter({}), { delayMs: undefined, unreadable: undefined });
});

describe("a rest is asked for by", () => {
    const restOf = (status: number): number | undefined => readBackoff(status, { "retry-after": "3" }).backoffMs;

    test("a status that turns the request away", () => {
        assert.deepEqual([restOf(503), restOf(429)], [3000, 3000]);
    });

    test("no other", () => {
        assert.deepEqual([200, 301, 404, 408, 421, 500, 502, 504].map(restOf), Array.from({ length: 8 }, () => undefined));
    });
});
