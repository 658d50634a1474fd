/**
 * Guards against a second response that is taken for the end of a body, and against bodies that are refused although they only quote one.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { SurplusSearch } from "../src/upstream/surplus-search.js";

const body = "the body of the first response, ";

/** Returns the head of a response that repeats an id. */
const head = (id: string): string => `HTTP/1.1 200 OK\r\nx: y\r\nattempt-id: ${id}\r\n\r\n`;

/** Whether a second response is found in a text that arrives in these pieces. */
const finds = (...pieces: readonly string[]): boolean => {
    const search = new SurplusSearch(["a1", "a2"]);
    return pieces.map(piece => search.add(Buffer.from(piece, "latin1"))).includes(true);
};

describe("a second response behind a body", () => {
    ["a1", "a2"].forEach(id => {
        test(`with the id ${id} of a request on the connection is found, wherever it is cut`, () => {
            const text = `${body}${head(id)}second`;
            const cuts = Array.from({ length: text.length + 1 }, (_, cut) => cut);
            assert.deepEqual(cuts.filter(cut => !finds(text.slice(0, cut), text.slice(cut))), []);
            assert.equal(finds(...Array.from(text)), true);
        });
    });

    const others: Readonly<Record<string, string>> = {
        "with another id": `${body}${head("a3")}text a1 a2`,
        "without a head": `${body}HTTP/1.1 200 OK, a1\r\n\r\nattempt-id: a1\r\n`,
        "with an id that only begins in the same way": `${body}${head("a11")}`,
        "and ids without a status line": `${body}attempt-id: a1\r\n\r\n`,
    };
    Object.entries(others).forEach(([name, text]) => {
        test(`${name} is passed on`, () => assert.equal(finds(text, "the end"), false));
    });

    test("is found behind many quoted ones and a head that is too long", () => {
        const long = `HTTP/1.1 200 OK\r\n${"a: b\r\n".repeat(10_000)}`;
        assert.equal(finds(head("a3").repeat(1000), long, body, head("a1")), true);
    });

    test("is not found in status lines without heads, across pieces", () => {
        const search = new SurplusSearch(["a1"]);
        const lines = Buffer.from("HTTP/1.1 200 ".repeat(5000));
        assert.deepEqual(Array.from({ length: 20 }, () => search.add(lines)).includes(true), false);
    });
});
