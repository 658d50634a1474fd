/**
 * Guards against instances that do not share explanations and drains, or abort requests on a planned stop.
 */

import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Daemon, DaemonPorts } from "@harrierhitch/daemon";
import { OperatorService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { startDaemon, startSystem, type System, waitUntil } from "./system.js";

/** Three entry instances; the first one is part of the system. */
let system: System;
let daemons: Daemon[];
let ports: DaemonPorts[];

const startEntry = async (number: number): Promise<void> => {
    const daemon = startDaemon(system.platformPort, "", `entry-${number}`, "", [system.ports.peers]);
    daemons[number - 1] = daemon;
    ports[number - 1] = await daemon.start();
};

before(async () => {
    system = await startSystem({ upstreams: [{ meanServiceMs: 30 }, { meanServiceMs: 30 }] });
    daemons = [system.daemon];
    ports = [system.ports];
    await startEntry(2);
    await startEntry(3);
    await waitUntil(() =>
        daemons.every(daemon => daemon.instance.stage === "serving" && daemon.instance.fleet?.members.alive.length === 3)
    );
});

after(async () => {
    await Promise.all(daemons.slice(1).map(daemon => daemon.stop()));
    await system.stop();
});

const issue = async (entry: number): Promise<number> => {
    const response = await fetch(`http://127.0.0.1:${ports[entry - 1]!.callers}/issue`, { method: "POST", body: "seat 4A" });
    await response.text();
    return response.status;
};

test("any instance returns an explanation, and the error for a missing one names the deciding instance", async () => {
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

test("a drain that one instance observes reaches the others while the platform is down and excludes the upstream", async () => {
    system.platform.behaviour = { failStatus: 500 };
    system.upstreams[0]!.behaviour = { ...system.upstreams[0]!.behaviour, draining: true };
    const stateAt = (daemon: Daemon) => daemon.instance.services.all()[0]!.tracker.facts()[0]!.state;
    while (stateAt(daemons[0]!) !== "draining") {
        await (await fetch(`http://127.0.0.1:${ports[0]!.callers}/read/x`)).text();
    }
    await waitUntil(() => daemons.every(daemon => stateAt(daemon) === "draining"));
    const arrivedBefore = system.upstreams[0]!.arrived;
    const responses = await Promise.all(
        Array.from({ length: 9 }, (_, number) => fetch(`http://127.0.0.1:${ports[number % 3]!.callers}/read/x`)),
    );
    assert.ok(responses.every(response => response.status === 200));
    assert.equal(system.upstreams[0]!.arrived, arrivedBefore);
    system.platform.behaviour = {};
});

describe("a planned stop", () => {
    test("completes all requests in flight, and ends readiness immediately", async () => {
        system.upstreams[1]!.behaviour = { ...system.upstreams[1]!.behaviour, meanServiceMs: 300 };
        const inFlight = Promise.all(Array.from({ length: 6 }, () => issue(2)));
        await waitUntil(() => daemons[1]!.instance.services.all()[0]!.tracker.inFlight === 6);
        const stopped = daemons[1]!.stop();
        assert.equal(daemons[1]!.instance.stage, "stopping");
        assert.deepEqual(await inFlight, [200, 200, 200, 200, 200, 200]);
        await stopped;
    });
});
