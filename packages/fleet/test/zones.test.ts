/**
 * Guards against requests to an availability zone that is out of service, and against a zone that stays out after its
 * return.
 */

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

const takenOut = (availabilityZone: string, revision: number): ZoneStatus => ({ availabilityZone, revision, isOut: true });
const putBack = (availabilityZone: string, revision: number): ZoneStatus => ({ availabilityZone, revision, isOut: false });

interface Case {
    readonly name: string;
    readonly updates: readonly {
        readonly revision: number;
        readonly isSnapshot?: boolean;
        readonly zones: readonly ZoneStatus[];
    }[];
    readonly out: string;
}

const cases: readonly Case[] = [
    { name: "one is taken out of service", updates: [{ revision: 5, zones: [takenOut("a", 5)] }], out: "a" },
    {
        name: "one is put back",
        updates: [{ revision: 5, zones: [takenOut("a", 5)] }, { revision: 6, zones: [putBack("a", 6)] }],
        out: "",
    },
    {
        name: "the return arrives before the outage",
        updates: [{ revision: 6, zones: [putBack("a", 6)] }, { revision: 5, zones: [takenOut("a", 5)] }],
        out: "",
    },
    {
        name: "the same zone is taken out again at once",
        updates: [{ revision: 7, zones: [takenOut("a", 5), putBack("a", 6), takenOut("a", 7)] }],
        out: "a",
    },
    {
        name: "its return never arrives, and a snapshot lacks the zone",
        updates: [{ revision: 5, zones: [takenOut("a", 5)] }, { revision: 8, isSnapshot: true, zones: [takenOut("b", 8)] }],
        out: "b",
    },
    {
        name: "a snapshot from before the outage lacks the zone",
        updates: [{ revision: 9, zones: [takenOut("a", 9)] }, { revision: 8, isSnapshot: true, zones: [] }],
        out: "a",
    },
    {
        name: "a late message of the outage follows a snapshot without it",
        updates: [{ revision: 5, zones: [takenOut("a", 5)] }, { revision: 8, isSnapshot: true, zones: [] }, {
            revision: 5,
            zones: [takenOut("a", 5)],
        }],
        out: "",
    },
    {
        name: "a late message of the outage follows a snapshot without it, and nothing else was known of the zone",
        updates: [{ revision: 8, isSnapshot: true, zones: [] }, { revision: 7, zones: [takenOut("a", 5)] }],
        out: "",
    },
    {
        name: "a late message of a second outage follows a snapshot without it",
        updates: [
            { revision: 6, zones: [takenOut("a", 5), putBack("a", 6)] },
            { revision: 9, isSnapshot: true, zones: [] },
            { revision: 8, zones: [takenOut("a", 5), putBack("a", 6), takenOut("a", 7)] },
        ],
        out: "",
    },
    {
        name: "an outdated snapshot with the outage follows one without it",
        updates: [{ revision: 8, isSnapshot: true, zones: [] }, { revision: 6, isSnapshot: true, zones: [takenOut("a", 5)] }],
        out: "",
    },
    {
        name: "two are out and one returns",
        updates: [{ revision: 7, zones: [takenOut("a", 5), takenOut("b", 6), putBack("a", 7)] }],
        out: "b",
    },
];

describe("the zones out of service are correct if", () => {
    cases.forEach(({ name, updates, out: expected }) => {
        test(name, () => {
            const zones = new ZoneStatusTable();
            updates.reduce((appliedRevision, { revision, isSnapshot = false, zones: statuses }) => {
                zones.merge({ revision, isSnapshot, zones: statuses }, appliedRevision);
                return Math.max(appliedRevision, revision);
            }, 0);
            assert.equal([...zones.outOfService].sort().join(" "), expected);
        });
    });

    test("changes arrive in any order and any number of times", () => {
        const changes = fc.array(fc.record({ zone: fc.constantFrom("a", "b", "c"), isOut: fc.boolean() }), {
            minLength: 1,
            maxLength: 10,
        });
        fc.assert(
            fc.property(changes, fc.nat(1_000_000), (list, seed) => {
                const random = new SeededRandom(seed + 1);
                const changed = list.map(({ zone, isOut }, index) => ({ availabilityZone: zone, revision: index + 1, isOut }));
                const shuffled = [...changed, ...changed].map(change => ({ change, draw: random.next() }))
                    .sort((a, b) => a.draw - b.draw);
                const zones = new ZoneStatusTable();
                shuffled.forEach(({ change }) =>
                    zones.merge({ revision: change.revision, isSnapshot: false, zones: [change] }, 0)
                );
                const last = ["a", "b", "c"].filter(zone =>
                    changed.findLast(({ availabilityZone }) => availabilityZone === zone)?.isOut === true
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

const entry = (id: string, revision: number, zone: string): DirectoryEntry => ({
    upstream: upstreamId(id),
    revision,
    text: zone,
});

test("upstreams of a zone that is out of service are in the directory, but not in service, until it returns", () => {
    const directory = openDirectory();
    const inService = (): string => directory.upstreamsInService.map(({ id }) => id).join(" ");
    const updates = (revision: number, zones: readonly ZoneStatus[]): DirectoryUpdate => ({
        revision,
        isSnapshot: false,
        entries: [],
        zones,
    });
    directory.merge({ ...updates(3, []), isSnapshot: true, entries: [entry("u1", 1, "a"), entry("u2", 2, "b")] });
    directory.merge(updates(4, [takenOut("a", 4)]));
    assert.deepEqual([inService(), directory.upstreams.length], ["u2", 2]);
    directory.merge(updates(5, [putBack("a", 5)]));
    assert.equal(inService(), "u1 u2");
});

test("the zones in the update from one directory, a snapshot or a delta, bring another one to the same state", () => {
    const [first, second, third] = [openDirectory(), openDirectory(), openDirectory()];
    const merge = (directory: UpstreamDirectory, updates: DirectoryUpdate): void => directory.merge(updates);
    merge(first, { revision: 3, isSnapshot: true, entries: [entry("u1", 1, "a")], zones: [takenOut("a", 2)] });
    merge(second, first.updatesSince(0));
    merge(first, { revision: 6, isSnapshot: false, entries: [], zones: [putBack("a", 5), takenOut("b", 6)] });
    merge(second, first.updatesSince(second.revision));
    merge(third, first.updatesSince(0));
    assert.deepEqual([second.zonesOutOfService, third.zonesOutOfService], [["b"], ["b"]]);
});

test("a zone that one reader finds out of service is out on 95 instances within a second, and so is its return", async () => {
    const fleet = new FakeFleet(11, { maximumDelayMs: 10, dropShare: 0, repeatShare: 0.05 });
    const ids = Array.from({ length: 95 }, (_, index) => `n${index}`);
    ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
    await fleet.clock.advance(12_000);
    const reader = fleet.running.find(node => node.fleet.roles.isReader)!;
    const publish = async (zone: ZoneStatus): Promise<number> => {
        reader.directory.merge({ revision: zone.revision, isSnapshot: false, entries: [], zones: [zone] });
        reader.fleet.gossipNow();
        await fleet.clock.advance(1000);
        return fleet.running.filter(node => node.directory.zonesOutOfService.includes("zone-1") === zone.isOut).length;
    };
    assert.equal(await publish(takenOut("zone-1", 4)), 95);
    assert.equal(await publish(putBack("zone-1", 5)), 95);
});
