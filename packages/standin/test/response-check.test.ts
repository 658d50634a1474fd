/**
 * Guards against a soak that takes the response to another request, or a longer one, for a cut one.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { isBeginning, isWhole, statesEnd } from "../src/soak/response-check.js";

const request = { number: "r12", path: "/read/r12", body: "" };

const bodyOf = (number: string, upstream = "main-3"): string =>
    JSON.stringify({ upstream, path: `/read/${number}`, key: number, bodyBytes: 0 });

test("a body is whole only if it is the one of the request", () => {
    const bodies = [bodyOf("r12"), bodyOf("r13"), bodyOf("r12").slice(0, -1), `${bodyOf("r12")}HTTP/1.1 200 OK`, ""];
    assert.deepEqual(bodies.map(body => isWhole(body, request)), [true, false, false, false, false]);
});

test("only the beginning of the body of the request is one that was cut off", () => {
    const half = (text: string): string => text.slice(0, text.length / 2 + 5);
    const bodies = [
        half(bodyOf("r12")),
        half(bodyOf("r13")),
        bodyOf("r13"),
        `${bodyOf("r12")}HTTP/1.1 200 OK`,
        bodyOf("r12").slice(1),
        "",
    ];
    assert.deepEqual(bodies.map(body => isBeginning(body, request)), [true, false, false, false, false, false]);
});

test("a length and chunks state an end", () => {
    const headers = [{ "content-length": "0" }, { "transfer-encoding": "chunked" }, { connection: "close" }];
    assert.deepEqual(headers.map(each => statesEnd({ headers: each })), [true, true, false]);
});
