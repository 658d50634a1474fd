/**
 * Upstreams that name how many requests a second they take, and what of it is a limit.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ParsedLimit, readLimit } from "../src/request/announced-limit.js";

const named = (perSecond: number): ParsedLimit => ({ type: "named", perSecond });
const unreadable = (text: string): ParsedLimit => ({ type: "unreadable", text });

const cases: readonly (readonly [name: string, header: string | readonly string[] | undefined, reading: ParsedLimit])[] = [
    ["no header", undefined, { type: "none" }],
    ["a whole number", "12", named(12)],
    ["a fraction", "3.6", named(3.6)],
    ["a fraction below one", ".5", named(0.5)],
    ["spaces around it", " 2.5 ", named(2.5)],
    ["none at all", "0", named(0)],
    ["hundreds", "450", named(450)],
    ["the same twice", "3, 3.0", named(3)],
    ["the same in two headers", ["3", "3"], named(3)],
    ["two that differ", "3, 4", unreadable("3, 4")],
    ["two headers that differ", ["3", "4"], unreadable("3,4")],
    ["a negative number", "-1", unreadable("-1")],
    ["nothing", "", unreadable("")],
    ["a word", "few", unreadable("few")],
    ["not a number", "NaN", unreadable("NaN")],
    ["without an end", "Infinity", unreadable("Infinity")],
    ["an exponent", "1e3", unreadable("1e3")],
    ["hexadecimal digits", "0x10", unreadable("0x10")],
    ["a dot alone", ".", unreadable(".")],
    ["absurdly many", "900000000", unreadable("900000000")],
    ["more digits than any number needs", "9".repeat(200), unreadable("9".repeat(64))],
];

describe("a limit that an upstream names", () => {
    cases.forEach(([name, header, reading]) => {
        test(`as ${name} is ${reading.type}`, () => {
            assert.deepEqual(readLimit(header), reading);
        });
    });
});
