/**
 * Guards against a malformed rate limit header being applied, and a valid one being ignored.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ParsedLimit, readLimit } from "../src/request/announced-limit.js";

const announced = (perSecond: number): ParsedLimit => ({ type: "named", perSecond });
const unreadable = (text: string): ParsedLimit => ({ type: "unreadable", text });

const cases: readonly (readonly [name: string, header: string | readonly string[] | undefined, expected: ParsedLimit])[] = [
    ["no header", undefined, { type: "none" }],
    ["an integer", "12", announced(12)],
    ["a fraction", "3.6", announced(3.6)],
    ["a fraction below one", ".5", announced(0.5)],
    ["spaces around it", " 2.5 ", announced(2.5)],
    ["zero", "0", announced(0)],
    ["a large number", "450", announced(450)],
    ["the same value twice", "3, 3.0", announced(3)],
    ["the same value in two headers", ["3", "3"], announced(3)],
    ["two different values", "3, 4", unreadable("3, 4")],
    ["two headers with different values", ["3", "4"], unreadable("3,4")],
    ["a negative number", "-1", unreadable("-1")],
    ["an empty value", "", unreadable("")],
    ["a word", "few", unreadable("few")],
    ["not a number", "NaN", unreadable("NaN")],
    ["infinity", "Infinity", unreadable("Infinity")],
    ["an exponent", "1e3", unreadable("1e3")],
    ["hexadecimal digits", "0x10", unreadable("0x10")],
    ["a single dot", ".", unreadable(".")],
    ["a number above the maximum", "900000000", unreadable("900000000")],
    ["too many digits", "9".repeat(200), unreadable("9".repeat(64))],
];

describe("a rate limit header:", () => {
    cases.forEach(([name, header, expected]) => {
        test(`${name} is read as ${expected.type}`, () => {
            assert.deepEqual(readLimit(header), expected);
        });
    });
});
