/**
 * Guards against a misread Retry-After header: a backoff that is missing, too long or taken from the wrong status.
 */

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
        test(`"${header.text}" is unreadable, and is returned unchanged`, () => {
            assert.deepEqual(read(header), { delayMs: undefined, unreadable: header.text });
        });
    });
});

test("an unreadable Retry-After is returned truncated", () => {
    assert.equal(readRetryAfter({ "retry-after": "x".repeat(5000) }).unreadable?.length, 64);
});

test("a response without the header has no delay", () => {
    assert.deepEqual(readRetryAfter({}), { delayMs: undefined, unreadable: undefined });
});

describe("a backoff is requested by", () => {
    const backoffOf = (status: number): number | undefined => readBackoff(status, { "retry-after": "3" }).backoffMs;

    test("the statuses 503 and 429", () => {
        assert.deepEqual([backoffOf(503), backoffOf(429)], [3000, 3000]);
    });

    test("no other status", () => {
        assert.deepEqual([200, 301, 404, 408, 421, 500, 502, 504].map(backoffOf), Array.from({ length: 8 }, () => undefined));
    });
});
