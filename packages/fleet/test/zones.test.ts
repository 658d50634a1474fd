import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import {
    type DirectoryEntry,
    type DirectoryUpdate,
    UpstreamDirectory,
    type ZoneStatus,
    ZoneStatusTable,
} from "@harrierhitch/published";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { discoveredUpstream } from "./discovered-upstream.js";
import { FakeFleet } from "./fake-fleet.js";

const out = (availabilityZone: string, revision: number): ZoneStatus => ({ availabilityZone, revision, isOut: true });
const back = (availabilityZone: string, revision: number): ZoneStatus => ({ availabilityZone, revision, isOut: false });

interface Case {
    readonly name: string;
    readonly news: readonly { readonly revision: number; readonly whole?: boolean; readonly zones: readonly ZoneStatus[]; }[];
    readonly out: string;
}

const cases: readonly Case[] = [
    { name: "one is taken out of service", news: [{ revision: 5, zones: [out("a", 5)] }], out: "a" },
    { name: "one is put back", news: [{ revision: 5, zones: [out("a", 5)] }, { revision: 6, zones: [back("a", 6)] }], out: "" },
    {
        name: "the return is told before the loss",
        news: [{ revision: 6, zones: [back("a", 6)] }, { revision: 5, zones: [out("a", 5)] }],
        out: "",
    },
    {
        name: "the same zone goes again at once",
        news: [{ revision: 7, zones: [out("a", 5), back("a", 6), out("a", 7)] }],
        out: "a",
    },
    {
        name: "its return is never told, and a whole read lacks it",
        news: [{ revision: 5, zones: [out("a", 5)] }, { revision: 8, whole: true, zones: [out("b", 8)] }],
        out: "b",
    },
    {
        name: "a whole read that is older than the loss lacks it",
        news: [{ revision: 9, zones: [out("a", 9)] }, { revision: 8, whole: true, zones: [] }],
        out: "a",
    },
    {
        name: "a late message of the loss follows a whole read that showed its end",
        news: [{ revision: 5, zones: [out("a", 5)] }, { revision: 8, whole: true, zones: [] }, {
            revision: 5,
            zones: [out("a", 5)],
        }],
        out: "",
    },
    { name: "two overlap and one returns", news: [{ revision: 7, zones: [out("a", 5), out("b", 6), back("a", 7)] }], out: "b" },
];

describe("an availability zone is out of service as it should be if", () => {
    cases.forEach(({ name, news, out: expected }) => {
        test(name, () => {
            const zones = new ZoneStatusTable();
            news.reduce((known, { revision, whole = false, zones: told }) => {
                zones.merge({ revision, isSnapshot: whole, zones: told }, known);
                return Math.max(known, revision);
            }, 0);
            assert.equal([...zones.outOfService].sort().join(" "), expected);
        });
    });

    test("changes come in any order, any number of times", () => {
        const changes = fc.array(fc.record({ zone: fc.constantFrom("a", "b", "c"), isOut: fc.boolean() }), {
            minLength: 1,
            maxLength: 10,
        });
        fc.assert(
            fc.property(changes, fc.nat(1_000_000), (list, seed) => {
                const random = new SeededRandom(seed + 1);
                const told = list.map(({ zone, isOut }, index) => ({ availabilityZone: zone, revision: index + 1, isOut }));
                const shuffled = [...told, ...told].map(change => ({ change, draw: random.next() }))
                    .sort((a, b) => a.draw - b.draw);
                const zones = new ZoneStatusTable();
                shuffled.forEach(({ change }) =>
                    zones.merge({ revision: change.revision, isSnapshot: false, zones: [change] }, 0)
                );
                const last = ["a", "b", "c"].filter(zone =>
                    told.findLast(({ availabilityZone }) => availabilityZone === zone)?.isOut === true
                );
                assert.deepEqual([...zones.outOfService].sort(), last);
            }),
            { seed: 5, numRuns: 300 },
        );
    });
});

const openDirectory = (): UpstreamDirectory =>
    new UpstreamDirectory({
        clock: new FakeClock(),
        read: (id, text) => ({ value: { ...discoveredUpstream(id, "ready"), availabilityZone: text }, findings: [] }),
        removalGraceMs: () => 0,
        onChange: () => undefined,
        onZoneChange: () => undefined,
        onRemovalConfirmed: () => undefined,
        onInvalid: () => undefined,
    });

const listing = (id: string, revision: number, zone: string): DirectoryEntry => ({
    upstream: upstreamId(id),
    revision,
    text: zone,
});

test("upstreams of a zone that is out are listed, but not in service, until it is back", () => {
    const directory = openDirectory();
    const inService = (): string => directory.upstreamsInService.map(({ id }) => id).join(" ");
    const news = (revision: number, zones: readonly ZoneStatus[]): DirectoryUpdate => ({
        revision,
        isSnapshot: false,
        entries: [],
        zones,
    });
    directory.merge({ ...news(3, []), isSnapshot: true, entries: [listing("u1", 1, "a"), listing("u2", 2, "b")] });
    directory.merge(news(4, [out("a", 4)]));
    assert.deepEqual([inService(), directory.upstreams.length], ["u2", 2]);
    directory.merge(news(5, [back("a", 5)]));
    assert.equal(inService(), "u1 u2");
});

test("what one directory passes on of zones, whole or as changes, brings another one to the same state", () => {
    const [first, second, third] = [openDirectory(), openDirectory(), openDirectory()];
    const take = (directory: UpstreamDirectory, news: DirectoryUpdate): void => directory.merge(news);
    take(first, { revision: 3, isSnapshot: true, entries: [listing("u1", 1, "a")], zones: [out("a", 2)] });
    take(second, first.updatesSince(0));
    take(first, { revision: 6, isSnapshot: false, entries: [], zones: [back("a", 5), out("b", 6)] });
    take(second, first.updatesSince(second.revision));
    take(third, first.updatesSince(0));
    assert.deepEqual([second.zonesOutOfService, third.zonesOutOfService], [["b"], ["b"]]);
});

test("a zone that one reader sees go is out at 95 instances within a second, and so is its return", async () => {
    const fleet = new FakeFleet(11, { maximumDelayMs: 10, dropShare: 0, repeatShare: 0.05 });
    const ids = Array.from({ length: 95 }, (_, index) => `n${index}`);
    ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
    await fleet.clock.advance(12_000);
    const reader = fleet.running.find(node => node.fleet.roles.isReader)!;
    const tell = async (zone: ZoneStatus): Promise<number> => {
        reader.directory.merge({ revision: zone.revision, isSnapshot: false, entries: [], zones: [zone] });
        reader.fleet.gossipNow();
        await fleet.clock.advance(1000);
        return fleet.running.filter(node => node.directory.zonesOutOfService.includes("zone-1") === zone.isOut).length;
    };
    assert.equal(await tell(out("zone-1", 4)), 95);
    assert.equal(await tell(back("zone-1", 5)), 95);
});
