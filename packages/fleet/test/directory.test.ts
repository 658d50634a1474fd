/**
 * Guards against upstreams that stay in use after their removal, and against upstreams that are dropped because their
 * entries expired or an outdated update arrived.
 */

import { FakeClock, upstreamId } from "@harrierhitch/core";
import { type DirectoryEntry, UpstreamDirectory } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { discoveredUpstream } from "./discovered-upstream.js";

const entry = (id: string, revision: number, text?: string): DirectoryEntry => ({ upstream: upstreamId(id), revision, text });

const names = ["a", "b", "c", "d", "e"];

/** Creates a directory of five upstreams at revision 5. */
const openDirectory = (grace: { graceMs: number; }) => {
    const clock = new FakeClock();
    const invalid: string[] = [];
    const directory = new UpstreamDirectory({
        clock,
        read: (id, text) =>
            text === "bad"
                ? { value: undefined, findings: [{ file: id, section: "", key: "", line: undefined, message: "bad" }] }
                : { value: discoveredUpstream(id, text), findings: [] },
        removalGraceMs: () => grace.graceMs,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: id => invalid.push(id),
    });
    directory.merge({
        revision: 5,
        isSnapshot: true,
        entries: names.map((name, index) => entry(name, index + 1, "ready")),
        zones: [],
    });
    const state = (): string => directory.upstreams.map(({ id, draining }) => draining ? `${id} leaves` : id).join(", ");
    return { clock, directory, state, invalid };
};

const openEmptyDirectory = (): UpstreamDirectory =>
    new UpstreamDirectory({
        clock: new FakeClock(),
        read: (id, text) => ({ value: discoveredUpstream(id, text), findings: [] }),
        removalGraceMs: () => 0,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: () => undefined,
    });

interface Case {
    readonly name: string;
    readonly graceMs?: number;
    readonly updates: readonly {
        readonly revision: number;
        readonly isSnapshot?: boolean;
        readonly entries: readonly DirectoryEntry[];
    }[];
    readonly immediately: string;
    readonly afterGrace?: string;
}

const cases: readonly Case[] = [
    { name: "a removal takes effect at once", updates: [{ revision: 6, entries: [entry("a", 6)] }], immediately: "b, c, d, e" },
    {
        name: "a removal right after an outage of the platform takes effect when the grace period ends",
        graceMs: 700,
        updates: [{ revision: 6, entries: [entry("a", 6)] }],
        immediately: "a, b, c, d, e",
        afterGrace: "b, c, d, e",
    },
    {
        name: "an entry that expires and returns within the grace period is never removed",
        graceMs: 700,
        updates: [{ revision: 6, entries: [entry("a", 6)] }, { revision: 7, entries: [entry("a", 7, "ready")] }],
        immediately: "a, b, c, d, e",
    },
    {
        name: "removals of most upstreams at once take effect after a grace period",
        updates: [{ revision: 9, entries: ["a", "b", "c"].map((name, index) => entry(name, 6 + index)) }],
        immediately: "a, b, c, d, e",
        afterGrace: "d, e",
    },
    {
        name: "draining takes effect at once, also right after an outage of the platform",
        graceMs: 700,
        updates: [{ revision: 6, entries: [entry("b", 6, "leaving")] }],
        immediately: "a, b leaves, c, d, e",
    },
    {
        name: "an entry with a lower revision is ignored",
        updates: [{ revision: 8, entries: [entry("a", 8, "leaving")] }, { revision: 7, entries: [entry("a", 7, "ready")] }],
        immediately: "a leaves, b, c, d, e",
    },
    {
        name: "an upstream that a snapshot lacks is removed",
        updates: [{
            revision: 9,
            isSnapshot: true,
            entries: names.slice(1).map((name, index) => entry(name, index + 2, "ready")),
        }],
        immediately: "b, c, d, e",
    },
    {
        name: "an upstream that an outdated snapshot lacks is not removed",
        updates: [{ revision: 3, isSnapshot: true, entries: [entry("a", 1, "ready")] }],
        immediately: "a, b, c, d, e",
    },
    {
        name: "an upstream that a later snapshot lacks does not return with an outdated snapshot",
        updates: [{ revision: 4, isSnapshot: true, entries: [entry("f", 4, "ready")] }],
        immediately: "a, b, c, d, e",
    },
    {
        name: "an upstream that a later snapshot lacks does not return with late changes",
        updates: [{ revision: 6, entries: [entry("f", 4, "ready"), entry("g", 6, "ready")] }],
        immediately: "a, b, c, d, e, g",
    },
    {
        name: "an upstream that was removed, returned and is missing from a snapshot does not return with late changes",
        updates: [
            { revision: 6, entries: [entry("a", 6)] },
            { revision: 9, isSnapshot: true, entries: names.slice(1).map((name, index) => entry(name, index + 2, "ready")) },
            { revision: 8, entries: [entry("a", 6), entry("a", 7, "ready")] },
        ],
        immediately: "b, c, d, e",
    },
    {
        name: "a current snapshot restores an upstream whose change was missed",
        updates: [{
            revision: 5,
            isSnapshot: true,
            entries: [...names.map((name, index) => entry(name, index + 1, "ready")), entry("f", 4, "ready")],
        }],
        immediately: "a, b, c, d, e, f",
    },
    {
        name: "an entry that cannot be parsed removes its upstream and no other",
        updates: [{ revision: 6, entries: [entry("a", 6, "bad")] }],
        immediately: "b, c, d, e",
    },
    {
        name: "an upstream whose entry can be parsed again is used again",
        updates: [{ revision: 6, entries: [entry("a", 6, "bad")] }, { revision: 7, entries: [entry("a", 7, "ready")] }],
        immediately: "a, b, c, d, e",
    },
];

describe("in the upstream directory", () => {
    cases.forEach(({ name, graceMs = 0, updates, immediately, afterGrace = immediately }) => {
        test(name, async () => {
            const { clock, directory, state } = openDirectory({ graceMs });
            updates.forEach(({ revision, isSnapshot = false, entries }) =>
                directory.merge({ revision, isSnapshot, entries, zones: [] })
            );
            assert.equal(state(), immediately);
            await clock.advance(1500);
            assert.equal(state(), afterGrace);
        });
    });
});

test("an entry that cannot be parsed is reported", () => {
    const { directory, invalid } = openDirectory({ graceMs: 0 });
    directory.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6, "bad")], zones: [] });
    assert.deepEqual(invalid, ["a"]);
});

test("the update from one directory brings another one to the same state", async () => {
    const first = openDirectory({ graceMs: 0 });
    const second = openDirectory({ graceMs: 0 });
    first.directory.merge({ revision: 7, isSnapshot: false, entries: [entry("a", 6), entry("f", 7, "ready")], zones: [] });
    second.directory.merge(first.directory.updatesSince(second.directory.revision));
    assert.deepEqual([second.state(), second.directory.revision], [first.state(), 7]);
    const third = openEmptyDirectory();
    third.merge(first.directory.updatesSince(0));
    assert.equal(third.upstreams.length, 5);
});

test("a removal that is unconfirmed in one directory stays unconfirmed for the remaining time in another", async () => {
    const grace = { graceMs: 700 };
    const first = openDirectory(grace);
    const second = openDirectory({ graceMs: 0 });
    first.directory.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6)], zones: [] });
    await first.clock.advance(500);
    second.directory.merge(first.directory.updatesSince(second.directory.revision));
    assert.equal(second.state(), "a, b, c, d, e");
    await second.clock.advance(150);
    assert.equal(second.state(), "a, b, c, d, e");
    await second.clock.advance(100);
    assert.equal(second.state(), "b, c, d, e");
});

test("a removal that is received again takes effect when its first grace period ends", async () => {
    const { clock, directory, state } = openDirectory({ graceMs: 700 });
    const receive = (): void => directory.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6)], zones: [] });
    receive();
    await clock.advance(500);
    receive();
    await clock.advance(150);
    assert.equal(state(), "a, b, c, d, e");
    await clock.advance(100);
    assert.equal(state(), "b, c, d, e");
});

test("a removal that another instance has confirmed takes effect at once", async () => {
    const { clock, directory, state } = openDirectory({ graceMs: 700 });
    directory.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6)], zones: [] });
    await clock.advance(100);
    directory.merge({ revision: 6, isSnapshot: false, entries: [{ ...entry("a", 6), unconfirmedMs: 0 }], zones: [] });
    assert.equal(state(), "b, c, d, e");
});

test("an instance that is behind the start of another one learns from it what was removed before", () => {
    const restarted = openDirectory({ graceMs: 0 });
    restarted.directory.merge({
        revision: 9,
        isSnapshot: true,
        entries: names.slice(1).map((name, index) => entry(name, index + 2, "ready")),
        zones: [],
    });
    const fresh = openEmptyDirectory();
    fresh.merge(restarted.directory.updatesSince(0));
    const behind = openDirectory({ graceMs: 0 });
    behind.directory.merge(fresh.updatesSince(behind.directory.revision));
    assert.deepEqual([behind.state(), behind.directory.revision], ["b, c, d, e", 9]);
});

test("an instance that has all changes since another one's start receives no snapshot from it", () => {
    const first = openDirectory({ graceMs: 0 });
    const second = openEmptyDirectory();
    second.merge(first.directory.updatesSince(0));
    second.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6)], zones: [] });
    const update = second.updatesSince(first.directory.revision);
    assert.deepEqual([update.isSnapshot, update.entries.map(({ upstream }) => String(upstream))], [false, ["a"]]);
});

test("changes since a revision that an instance no longer has, because it started again, are ignored", () => {
    const first = openDirectory({ graceMs: 0 });
    first.directory.merge({ revision: 6, isSnapshot: false, entries: [entry("a", 6, "leaving")], zones: [] });
    const restarted = openEmptyDirectory();
    restarted.merge(first.directory.updatesSince(5));
    assert.deepEqual([restarted.revision, restarted.upstreams.length], [0, 0]);
});
