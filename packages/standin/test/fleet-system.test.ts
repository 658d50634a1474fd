import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { type Daemon, type DaemonPorts } from "@harrierhitch/daemon";
import { OperatorService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { hostedEntry } from "../src/host.js";
import { startDaemon, startSystem, type System, until } from "./system.js";

/** Three entry instances on real sockets; the first belongs to the system. */
let system: System;
let daemons: Daemon[];
let ports: DaemonPorts[];
let revision = 1;

const publishList = (numbers: readonly number[]): void => {
    revision += 1;
    const entries = numbers.map(number => hostedEntry(`entry-${number}`, ports[number - 1]!.peers, "hall-a"));
    system.platform.publish("instances", `revision = ${revision}\n${entries.join("")}`);
};

const startEntry = async (number: number): Promise<void> => {
    const daemon = startDaemon(system.platformPort, "", `entry-${number}`);
    daemons[number - 1] = daemon;
    ports[number - 1] = await daemon.start();
    await until(() => daemon.instance.fleet.history.view !== undefined);
};

before(async () => {
    system = await startSystem({ upstreams: [{ meanServiceMs: 30 }, { meanServiceMs: 30 }] });
    daemons = [system.daemon];
    ports = [system.ports];
    await startEntry(2);
    await startEntry(3);
    publishList([1, 2, 3]);
    await until(() =>
        daemons.every(daemon => daemon.instance.stage === "serving" && daemon.instance.fleet.members.alive.length === 3)
    );
});

after(async () => {
    await Promise.all(daemons.slice(1).map(daemon => daemon.stop()));
    await system.stop();
});

const issue = async (
    entry: number,
    key: string,
    body = "seat 4A",
): Promise<{ status: number; outcome: string | null; replayed: boolean; }> => {
    const response = await fetch(`http://127.0.0.1:${ports[entry - 1]!.callers}/issue`, {
        method: "POST",
        headers: { "idempotency-key": key },
        body,
    });
    await response.text();
    const { headers, status } = response;
    return { status, outcome: headers.get("x-request-outcome"), replayed: headers.get("idempotency-replayed") === "true" };
};

const runsOf = (key: string): number => system.upstreams.reduce((sum, upstream) => sum + (upstream.runs.get(key) ?? 0), 0);

test("the same keyed request at three instances at once runs once, and all callers get its answer", async () => {
    const answers = await Promise.all([1, 2, 3].map(entry => issue(entry, "at-once")));
    assert.deepEqual(answers.map(answer => [answer.status, answer.outcome]), [[200, "ran"], [200, "ran"], [200, "ran"]]);
    assert.equal(answers.filter(answer => answer.replayed).length, 2);
    assert.equal(runsOf("at-once"), 1);
});

test("a key that is used again for another request is refused, and that request is not run", async () => {
    assert.equal((await issue(1, "reused")).status, 200);
    const other = await issue(2, "reused", "seat 5B");
    assert.deepEqual([other.status, other.outcome, runsOf("reused")], [422, "not-run", 1]);
});

test("a repeated sending at an instance that has just been restarted runs once", async () => {
    assert.equal((await issue(1, "restart")).status, 200);
    await daemons[2]!.stop();
    await startEntry(3);
    publishList([1, 2, 3]);
    await until(() =>
        daemons[2]!.instance.stage === "serving" && daemons[2]!.instance.fleet.history.view?.list.revision === revision
    );
    const again = await issue(3, "restart");
    assert.equal(again.outcome, "ran");
    assert.equal(runsOf("restart"), 1);
});

test("an explanation is found from any instance, and a gone decider is named", async () => {
    const response = await fetch(`http://127.0.0.1:${ports[0]!.callers}/read/x`);
    await response.text();
    const requestId = response.headers.get("x-harrierhitch-request-id") ?? "";
    const client = createClient(
        OperatorService,
        createConnectTransport({ baseUrl: `http://127.0.0.1:${ports[1]!.operators}`, httpVersion: "1.1" }),
    );
    const found = await client.explain({ requestId });
    assert.deepEqual([found.instance, found.explanation?.requestId], ["entry-1", requestId]);
    await assert.rejects(
        client.explain({ requestId: requestId.replace(/\w+$/, "zzz") }),
        /entry-1, which decided .* has no record/,
    );
    const { instances } = await client.getStatus({});
    assert.deepEqual(instances.map(instance => instance.instance).sort(), ["entry-1", "entry-2", "entry-3"]);
});

test("a drain that one instance sees reaches the others while the platform is down, and none sends new work there", async () => {
    system.platform.behaviour = { failStatus: 500 };
    system.upstreams[0]!.behaviour = { ...system.upstreams[0]!.behaviour, draining: true };
    const stateAt = (daemon: Daemon) => daemon.instance.services.all()[0]!.beliefs.facts()[0]!.state;
    while (stateAt(daemons[0]!) !== "draining") {
        await (await fetch(`http://127.0.0.1:${ports[0]!.callers}/read/x`)).text();
    }
    await until(() => daemons.every(daemon => stateAt(daemon) === "draining"));
    const arrivedBefore = system.upstreams[0]!.arrived;
    const answers = await Promise.all(
        Array.from({ length: 9 }, (_, number) => fetch(`http://127.0.0.1:${ports[number % 3]!.callers}/read/x`)),
    );
    assert.ok(answers.every(answer => answer.status === 200));
    assert.equal(system.upstreams[0]!.arrived, arrivedBefore);
    system.platform.behaviour = {};
});

describe("a planned stop", () => {
    test("cuts off nothing in flight, and turns readiness off at once", async () => {
        system.upstreams[1]!.behaviour = { ...system.upstreams[1]!.behaviour, meanServiceMs: 300 };
        const inFlight = Promise.all(Array.from({ length: 6 }, (_, number) => issue(2, `stop-${number}`)));
        await until(() => daemons[1]!.instance.services.all()[0]!.beliefs.inFlight === 6);
        const stopped = daemons[1]!.stop();
        assert.equal(daemons[1]!.instance.stage, "stopping");
        assert.deepEqual((await inFlight).map(answer => answer.status), [200, 200, 200, 200, 200, 200]);
        await stopped;
    });

    test("leaves its keys with the others", async () => {
        const again = await issue(1, "stop-0");
        assert.deepEqual([again.outcome === "not-run", runsOf("stop-0")], [false, 1]);
    });
});
