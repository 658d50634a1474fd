/**
 * Guards against published state that an instance misses or claims falsely after the second request of an exchange, which carries
 * what the instance that responded lacks, and may reach its successor.
 */

import { upstreamId } from "@harrierhitch/core";
import type { DirectoryEntry } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { test } from "node:test";
import { configurationText } from "./documents.js";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const entry = (id: string, revision: number): DirectoryEntry => ({ upstream: upstreamId(id), revision, text: "ready" });

/** Starts an instance that has read some entries from the platform. */
const startWith = (fleet: FakeFleet, id: string, revision: number, entries: readonly DirectoryEntry[]): FakeNode => {
    const node = fleet.start(id, []);
    node.directory.merge({ revision, isSnapshot: true, entries, zones: [] });
    return node;
};

/** Exchanges state; the first request is answered by one instance, the second by another. */
const exchange = (from: FakeNode, first: FakeNode, second = first): Promise<unknown> => {
    const remaining = [first, second];
    return from.fleet.exchange.initiate(request => {
        const responder = remaining.shift();
        assert.ok(responder !== undefined);
        return responder.fleet.exchange.respond(request);
    });
};

const upstreamsOf = ({ directory }: FakeNode): readonly string[] => directory.upstreams.map(({ id }) => String(id));

test("a document that reaches the successor of its receiver does not make it claim the sender's revision", async () => {
    const fleet = new FakeFleet(1);
    const sender = startWith(fleet, "n1", 5, [entry("a", 4), entry("b", 5)]);
    const predecessor = startWith(fleet, "n2", 7, [entry("a", 4), entry("b", 5), entry("c", 7)]);
    sender.apply(configurationText(2));
    const successor = fleet.start("n2", []);
    await exchange(sender, predecessor, successor);
    assert.equal(successor.activeConfiguration.current?.configuration.generation, 2);
    assert.deepEqual([successor.directory.revision, upstreamsOf(successor)], [0, []]);
    // A first read may be older than what the predecessor had.
    successor.directory.merge({ revision: 4, isSnapshot: true, entries: [entry("a", 4)], zones: [] });
    assert.deepEqual([successor.directory.revision, upstreamsOf(successor)], [4, ["a"]]);
});

test("the instance that responded receives a zone that went out of service, without a change of an upstream", async () => {
    const fleet = new FakeFleet(1);
    const [sender, behind] = [startWith(fleet, "n1", 5, [entry("a", 5)]), startWith(fleet, "n2", 5, [entry("a", 5)])];
    const zones = [{ availabilityZone: "zone-1", revision: 6, isOut: true }];
    sender.directory.merge({ revision: 6, isSnapshot: false, entries: [], zones });
    await exchange(sender, behind);
    assert.deepEqual([behind.directory.revision, behind.directory.zonesOutOfService], [6, ["zone-1"]]);
});

test("the instance that responded receives a snapshot without entries", async () => {
    const fleet = new FakeFleet(1);
    const behind = startWith(fleet, "n2", 5, [entry("a", 5)]);
    await exchange(startWith(fleet, "n1", 9, []), behind);
    assert.deepEqual([behind.directory.revision, upstreamsOf(behind)], [9, []]);
});

test("an instance that has all changes receives no second request", async () => {
    const fleet = new FakeFleet(1);
    const [sender, current] = [startWith(fleet, "n1", 5, [entry("a", 5)]), startWith(fleet, "n2", 5, [entry("a", 5)])];
    let requests = 0;
    await sender.fleet.exchange.initiate(request => {
        requests += 1;
        return current.fleet.exchange.respond(request);
    });
    assert.equal(requests, 1);
});

test("an instance that cannot restore a document does not take over what was published with it", async () => {
    const fleet = new FakeFleet(1);
    fleet.mayBeUnreadable = true;
    const [behind, ahead] = [startWith(fleet, "n1", 5, [entry("a", 5)]), startWith(fleet, "n2", 5, [entry("a", 5)])];
    [behind, ahead].forEach(node => node.apply(configurationText(1)));
    ahead.apply(configurationText(2));
    ahead.directory.merge({ revision: 7, isSnapshot: false, entries: [entry("b", 7)], zones: [] });
    ahead.fleet.stalenessTracker.confirm(0);
    const exchangeWithAhead = (hash: (original: string) => string): Promise<unknown> =>
        behind.fleet.exchange.initiate(async request => {
            const response = await ahead.fleet.exchange.respond(request);
            response.configurationDocuments.forEach(({ base }) => {
                if (base !== undefined) {
                    base.hash = hash(base.hash);
                }
            });
            return response;
        });
    await exchangeWithAhead(original => `${original}x`);
    // A watch from revision 7 would not return the document.
    assert.deepEqual([behind.generations.at(-1), behind.directory.revision], [1, 5]);
    assert.equal(behind.fleet.stalenessTracker.stalenessMs, Infinity);
    await exchangeWithAhead(original => original);
    assert.deepEqual([behind.generations.at(-1), behind.directory.revision, upstreamsOf(behind)], [2, 7, ["a", "b"]]);
});
