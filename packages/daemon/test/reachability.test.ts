/**
 * Guards against taking the loss of this instance's own path for failures of upstreams, and the other way round.
 */

import { FakeClock, SeededRandom, serviceName, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { beforeEach, describe, test } from "node:test";
import type { PortState } from "../src/upstream/check-port.js";
import type { ReachabilityChange } from "../src/upstream/reachability-change.js";
import { Reachability } from "../src/upstream/reachability.js";

const services = ["alpha", "beta"];
const names = services.flatMap(service => [1, 2, 3, 4].map(number => `${service}-${number}`));
const idOf = (name: string) => upstreamId(name);

const targets = names.map((name, index) => ({
    upstream: { id: idOf(name), address: "127.0.0.1", port: index + 1, availabilityZone: "hall-a", slots: 1 },
    service: serviceName(name.slice(0, name.indexOf("-"))),
    connections: 1,
    connectTimeoutMs: 100,
}));

let clock: FakeClock;
let states: Map<string, PortState>;
let changes: ReachabilityChange[];
let checks: string[];
let reachability: Reachability;

const setAll = (prefix: string, state: PortState): void =>
    names.filter(name => name.startsWith(prefix)).forEach(name => states.set(name, state));
const unreachable = (): readonly string[] => names.filter(name => !reachability.isReachable(idOf(name)));

beforeEach(() => {
    clock = new FakeClock();
    states = new Map(names.map(name => [name, "open"]));
    changes = [];
    checks = [];
    reachability = new Reachability({
        clock,
        random: new SeededRandom(1),
        checkPort: ({ id }) => {
            checks.push(id);
            return Promise.resolve(states.get(id) ?? "silent");
        },
        onChange: change => changes.push(change),
    });
    reachability.configure(targets);
});

describe("the path to a service is lost only if several of its upstreams accept no connection", () => {
    test("an upstream that accepts connections is reachable, and one check shows it", async () => {
        assert.equal(await reachability.verify(idOf("alpha-1")), true);
        assert.deepEqual(checks, ["alpha-1"]);
    });
    test("an upstream that refuses while others accept has crashed", async () => {
        states.set("alpha-1", "closed");
        assert.equal(await reachability.verify(idOf("alpha-1")), true);
        assert.deepEqual(unreachable(), []);
    });
    test("an upstream that is silent while others accept is out of reach alone", async () => {
        states.set("alpha-1", "silent");
        assert.equal(await reachability.verify(idOf("alpha-1")), false);
        assert.deepEqual(unreachable(), ["alpha-1"]);
    });
    (["closed", "silent"] as const).forEach(state => {
        test(`all upstreams of all services ${state}: all paths are lost at the first failure`, async () => {
            setAll("", state);
            assert.equal(await reachability.verify(idOf("alpha-1")), false);
            await clock.advance(0);
            assert.deepEqual(unreachable(), names);
            assert.deepEqual(changes.map(({ service, unreachable: count }) => [service, count]), [["alpha", 4], ["beta", 4]]);
        });
        test(`all upstreams of one service ${state}: the other one stays reachable`, async () => {
            setAll("alpha", state);
            assert.equal(await reachability.verify(idOf("alpha-2")), false);
            assert.deepEqual(unreachable(), names.filter(name => name.startsWith("alpha")));
        });
    });
    test("upstreams that crash one after the other are no evidence against each other", async () => {
        for (const name of ["alpha-1", "alpha-2", "alpha-3"]) {
            states.set(name, "closed");
            assert.equal(await reachability.verify(idOf(name)), true, name);
        }
        assert.deepEqual(unreachable(), []);
    });
    test("an upstream that responds during the checks is not lost", async () => {
        setAll("", "silent");
        const verified = reachability.verify(idOf("alpha-1"));
        reachability.recordResponse(idOf("alpha-1"));
        assert.equal(await verified, true);
    });
    test("the services checked at once are few where the path to them is intact", async () => {
        const many = Array.from({ length: 100 }, (_, index) => ({
            upstream: { id: idOf(`s${index}`), address: "127.0.0.1", port: 1000 + index, availabilityZone: "hall-a", slots: 1 },
            service: serviceName(`s${index}`),
            connections: 1,
            connectTimeoutMs: 100,
        }));
        many.forEach(({ upstream: { id } }) => states.set(id, "open"));
        reachability.configure([...targets, ...many]);
        setAll("alpha", "closed");
        await reachability.verify(idOf("alpha-1"));
        await clock.advance(0);
        assert.ok(checks.length <= 20, `${checks.length} checks`);
    });
    test("failures of one moment share their checks", async () => {
        setAll("", "closed");
        await Promise.all(Array.from({ length: 20 }, () => reachability.verify(idOf("alpha-1"))));
        assert.ok(checks.length <= 5, checks.join(" "));
    });
});

describe("paths return one by one, and each by a check or a response of its own", () => {
    const lose = async (): Promise<void> => {
        setAll("", "closed");
        await reachability.verify(idOf("alpha-1"));
        await clock.advance(0);
        checks.length = 0;
    };
    test("nothing returns while nothing is open, and checks stay few", async () => {
        await lose();
        await clock.advance(10_000);
        assert.deepEqual(unreachable(), names);
        assert.ok(checks.length <= 2 * 40, `${checks.length} checks in 10 s`);
    });
    test("the first success does not bring back the others at once", async () => {
        await lose();
        setAll("alpha", "open");
        while (unreachable().length === names.length) {
            await clock.advance(10);
        }
        assert.equal(unreachable().filter(name => name.startsWith("alpha")).length, 3);
        await clock.advance(2000);
        assert.deepEqual(unreachable(), names.filter(name => name.startsWith("beta")));
    });
    test("a response that was still under way brings back its upstream", async () => {
        await lose();
        reachability.recordResponse(idOf("beta-2"));
        assert.equal(reachability.isReachable(idOf("beta-2")), true);
    });
    test("an upstream at another address starts without a loss", async () => {
        await lose();
        reachability.configure(
            targets.map(target => ({ ...target, upstream: { ...target.upstream, port: target.upstream.port + 100 } })),
        );
        assert.deepEqual(unreachable(), []);
    });
    test("attempts at lost upstreams are told once", async () => {
        let told = 0;
        const stop = reachability.onLost(idOf("alpha-3"), () => told += 1);
        await lose();
        assert.equal(told, 1);
        stop();
    });
});
