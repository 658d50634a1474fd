import { FakeClock, upstreamId } from "@harrierhitch/core";
import { type DirectoryEntry, UpstreamDirectory } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { discoveredUpstream } from "./discovered-upstream.js";

const listing = (id: string, revision: number, text?: string): DirectoryEntry => ({ upstream: upstreamId(id), revision, text });

const names = ["a", "b", "c", "d", "e"];

/** A directory of five upstreams, as it stands at revision 5. */
const open = (doubt: { doubtfulMs: number; }) => {
    const clock = new FakeClock();
    const invalid: string[] = [];
    const directory = new UpstreamDirectory({
        clock,
        read: (id, text) =>
            text === "bad"
                ? { value: undefined, findings: [{ file: id, section: "", key: "", line: undefined, message: "bad" }] }
                : { value: discoveredUpstream(id, text), findings: [] },
        removalGraceMs: () => doubt.doubtfulMs,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: id => invalid.push(id),
    });
    directory.merge({
        revision: 5,
        isSnapshot: true,
        entries: names.map((name, index) => listing(name, index + 1, "ready")),
        zones: [],
    });
    const listed = (): string => directory.upstreams.map(({ id, draining: leaving }) => leaving ? `${id} leaves` : id).join(", ");
    return { clock, directory, listed, invalid };
};

interface Case {
    readonly name: string;
    readonly doubtfulMs?: number;
    readonly news: readonly {
        readonly revision: number;
        readonly whole?: boolean;
        readonly listings: readonly DirectoryEntry[];
    }[];
    readonly atOnce: string;
    readonly afterwards?: string;
}

const cases: readonly Case[] = [
    { name: "one that is gone is gone at once", news: [{ revision: 6, listings: [listing("a", 6)] }], atOnce: "b, c, d, e" },
    {
        name: "one that is gone right after the platform's return is used until that is certain, and no longer",
        doubtfulMs: 700,
        news: [{ revision: 6, listings: [listing("a", 6)] }],
        atOnce: "a, b, c, d, e",
        afterwards: "b, c, d, e",
    },
    {
        name: "one that lapsed and is back was never away",
        doubtfulMs: 700,
        news: [{ revision: 6, listings: [listing("a", 6)] }, { revision: 7, listings: [listing("a", 7, "ready")] }],
        atOnce: "a, b, c, d, e",
    },
    {
        name: "most of them gone at once look like a lapse",
        news: [{ revision: 9, listings: ["a", "b", "c"].map((name, index) => listing(name, 6 + index)) }],
        atOnce: "a, b, c, d, e",
        afterwards: "d, e",
    },
    {
        name: "one that says that it leaves does so at once, also right after the platform's return",
        doubtfulMs: 700,
        news: [{ revision: 6, listings: [listing("b", 6, "leaving")] }],
        atOnce: "a, b leaves, c, d, e",
    },
    {
        name: "older news never undoes later news",
        news: [{ revision: 8, listings: [listing("a", 8, "leaving")] }, { revision: 7, listings: [listing("a", 7, "ready")] }],
        atOnce: "a leaves, b, c, d, e",
    },
    {
        name: "what a whole read lacks is gone",
        news: [{ revision: 9, whole: true, listings: names.slice(1).map((name, index) => listing(name, index + 2, "ready")) }],
        atOnce: "b, c, d, e",
    },
    {
        name: "what an old whole read lacks is not gone",
        news: [{ revision: 3, whole: true, listings: [listing("a", 1, "ready")] }],
        atOnce: "a, b, c, d, e",
    },
    {
        name: "a listing that cannot be read names no upstream, and the others hold",
        news: [{ revision: 6, listings: [listing("a", 6, "bad")] }],
        atOnce: "b, c, d, e",
    },
    {
        name: "one that can be read again is used again",
        news: [{ revision: 6, listings: [listing("a", 6, "bad")] }, { revision: 7, listings: [listing("a", 7, "ready")] }],
        atOnce: "a, b, c, d, e",
    },
];

describe("of listed upstreams", () => {
    cases.forEach(({ name, doubtfulMs = 0, news, atOnce, afterwards = atOnce }) => {
        test(name, async () => {
            const { clock, directory, listed } = open({ doubtfulMs });
            news.forEach(({ revision, whole = false, listings }) =>
                directory.merge({ revision, isSnapshot: whole, entries: listings, zones: [] })
            );
            assert.equal(listed(), atOnce);
            await clock.advance(1500);
            assert.equal(listed(), afterwards);
        });
    });
});

test("a listing that cannot be read is told", () => {
    const { directory, invalid } = open({ doubtfulMs: 0 });
    directory.merge({ revision: 6, isSnapshot: false, entries: [listing("a", 6, "bad")], zones: [] });
    assert.deepEqual(invalid, ["a"]);
});

test("what one directory passes on brings another one to the same state", async () => {
    const first = open({ doubtfulMs: 0 });
    const second = open({ doubtfulMs: 0 });
    first.directory.merge({ revision: 7, isSnapshot: false, entries: [listing("a", 6), listing("f", 7, "ready")], zones: [] });
    second.directory.merge(first.directory.updatesSince(second.directory.revision));
    assert.deepEqual([second.listed(), second.directory.revision], [first.listed(), 7]);
    const third = new UpstreamDirectory({
        clock: first.clock,
        read: (id, text) => ({ value: discoveredUpstream(id, text), findings: [] }),
        removalGraceMs: () => 0,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: () => undefined,
    });
    third.merge(first.directory.updatesSince(0));
    assert.equal(third.upstreams.length, 5);
});

test("a removal that one directory doubts is doubted for as long by whoever hears of it", async () => {
    const doubt = { doubtfulMs: 700 };
    const first = open(doubt);
    const second = open({ doubtfulMs: 0 });
    first.directory.merge({ revision: 6, isSnapshot: false, entries: [listing("a", 6)], zones: [] });
    await first.clock.advance(500);
    second.directory.merge(first.directory.updatesSince(second.directory.revision));
    assert.equal(second.listed(), "a, b, c, d, e");
    await second.clock.advance(150);
    assert.equal(second.listed(), "a, b, c, d, e");
    await second.clock.advance(100);
    assert.equal(second.listed(), "b, c, d, e");
});
