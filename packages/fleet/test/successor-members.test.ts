/**
 * Guards against a started instance that is not told which members its predecessor had been told of, because the sender has learned
 * of the start from a third instance before.
 */

import { create } from "@bufbuild/protobuf";
import { type ExchangeRequest, MemberSchema } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const thirdMember = create(MemberSchema, { instance: "n3", incarnation: 1n, heartbeat: 1n });

/** Exchanges state once; returns the names of the members in the request. */
const exchange = async (from: FakeNode, to: FakeNode): Promise<readonly string[]> => {
    const requests: ExchangeRequest[] = [];
    await from.fleet.exchange.initiate(request => {
        requests.push(request);
        return to.fleet.exchange.respond(request);
    }, { receiver: to.id });
    return requests.flatMap(({ members }) => members.map(({ instance }) => instance));
};

/** Starts two instances that know each other; one of them has told the other of a third one. */
const startPair = async () => {
    const fleet = new FakeFleet(1);
    const [sender, receiver] = [fleet.start("n1", []), fleet.start("n2", [])];
    await exchange(receiver, sender);
    sender.fleet.members.merge([thirdMember], "n3");
    assert.deepEqual(await exchange(sender, receiver), ["n3"]);
    await fleet.clock.advance(2000);
    return { fleet, sender, receiver };
};

test("a member is told once to the same instance", async () => {
    const { sender, receiver } = await startPair();
    assert.deepEqual(await exchange(sender, receiver), []);
});

test("all members are told to the successor of an instance", async () => {
    const { fleet, sender } = await startPair();
    const successor = fleet.start("n2", []);
    sender.fleet.members.merge([successor.fleet.members.self], "n3");
    assert.ok((await exchange(sender, successor)).includes("n3"));
});

test("all members are told to an instance that was replaced between two exchanges, by the second of them at the latest", async () => {
    const { fleet, sender } = await startPair();
    const successor = fleet.start("n2", []);
    await exchange(sender, successor);
    assert.ok((await exchange(sender, successor)).includes("n3"));
});
