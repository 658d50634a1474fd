/**
 * Guards against a planned stop that cuts off requests, or keeps from callers what becomes of them.
 */

import { checkSettings } from "@harrierhitch/configuration";
import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { loopbackSettings } from "../src/loopback-settings.js";
import { startHoldingSystem } from "./held-requests.js";
import { openCaller } from "./raw-caller.js";
import { startDaemon, startSystem, type System, waitUntil } from "./system.js";

/** Time of a stop that no test reaches, in milliseconds. */
const longStopMs = 60_000;

let system: System | undefined;
afterEach(async () => {
    await system?.stop();
    system = undefined;
});

const limits = (stopMs: number, stopDelayMs = 50): string => `[limits]\nstopDelayMs = ${stopDelayMs}\nstopMs = ${stopMs}\n`;

interface Told {
    readonly status: number;
    readonly outcome: string | null;
    readonly kind: string | undefined;
    readonly retryAfter: string | null;
    readonly connection: string | null;
}

/** Sends a request and returns what its caller is told. */
const send = async (path: string, init: RequestInit = {}): Promise<Told> => {
    const response = await fetch(`${system?.url}${path}`, init);
    const { type } = await response.json() as { type?: string; };
    const header = (name: string): string | null => response.headers.get(name);
    return {
        status: response.status,
        outcome: header("x-request-outcome"),
        kind: type?.split(":").at(-1),
        retryAfter: header("retry-after"),
        connection: header("connection"),
    };
};

/** Waits until an upstream works on a number of requests. */
const arrived = (requests: number): Promise<void> => waitUntil(() => (system?.upstreams[0]?.arrived ?? 0) >= requests);

describe("during a planned stop", () => {
    test("requests in flight may take longer than the time until the port closes", async () => {
        system = await startSystem({ upstreams: [{ meanServiceMs: 400, slots: 20 }], settings: limits(longStopMs) });
        const reads = Array.from({ length: 6 }, () => send("/read/x"));
        const issues = Array.from({ length: 6 }, (_, index) => send("/issue", { method: "POST", body: `seat ${index}` }));
        await arrived(12);
        await system.daemon.stop();
        const told = await Promise.all([...reads, ...issues]);
        assert.deepEqual(told.map(({ status, outcome }) => [status, outcome]), told.map(() => [200, "ran"]));
        assert.deepEqual(told.map(({ connection }) => connection), told.map(() => "close"));
    });

    test("a request whose upstream does not respond in time is told that it may have run", async () => {
        system = await startSystem({ upstreams: [{ hang: true }], settings: limits(1000) });
        const requests = [send("/read/x"), send("/issue", { method: "POST", body: "seat 4A" })];
        await arrived(2);
        await system.daemon.stop();
        const expected = { status: 502, outcome: "unknown", kind: "interrupted", retryAfter: null, connection: "close" };
        assert.deepEqual(await Promise.all(requests), [expected, expected]);
    });

    test("a request that waits in the queue until the end is told that it has not run", async () => {
        system = await startHoldingSystem("", limits(1000));
        const first = send("/held", { method: "PUT", body: "first" });
        await arrived(1);
        const held = send("/held", { method: "POST", body: "second" });
        await waitUntil(async () => (await system!.daemon.metricsText()).includes("harrierhitch_requests_in_flight 2"));
        await system.daemon.stop();
        assert.equal((await first).outcome, "unknown");
        const expected = { status: 503, outcome: "not-run", kind: "stopping", retryAfter: "0", connection: "close" };
        assert.deepEqual(await held, expected);
        assert.equal(system.upstreams[0]?.arrived, 1);
    });

    test("a request whose body is not complete at the end is told that it has not run", async () => {
        system = await startSystem({ upstreams: [{ meanServiceMs: 5 }], settings: limits(1000) });
        let received = "";
        const caller = openCaller(system.callersPort, "POST /issue HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf");
        caller.on("data", data => received += String(data));
        await waitUntil(async () => (await system!.daemon.metricsText()).includes("harrierhitch_requests_in_flight 1"));
        await system.daemon.stop();
        await waitUntil(() => caller.closed);
        assert.match(received, /^HTTP\/1.1 503 .*x-request-outcome: not-run/is);
    });

    test("a shorter time takes effect, and a longer one does not", async () => {
        system = await startSystem({ upstreams: [{ hang: true }], settings: limits(longStopMs) });
        const request = send("/read/x");
        await arrived(1);
        const stopped = system.daemon.stop();
        [longStopMs / 2, 800, longStopMs * 2].forEach(stopMs => system?.daemon.reload(settingsWith(stopMs)));
        assert.equal((await request).kind, "interrupted");
        await stopped;
    });

    test("settings that changed before it apply", async () => {
        system = await startSystem({ upstreams: [{ meanServiceMs: 400, slots: 20 }], settings: limits(200) });
        system.daemon.reload(settingsWith(longStopMs));
        const request = send("/read/x");
        await arrived(1);
        await system.daemon.stop();
        assert.equal((await request).status, 200);
    });
});

test("an instance that is stopped while it starts stops, and does not stay ready", async () => {
    system = await startSystem({ upstreams: [{ meanServiceMs: 5 }] });
    const daemon = startDaemon(system.platformPort, limits(longStopMs), "entry-2", "", [system.ports.peers]);
    const started = daemon.start();
    const stopped = daemon.stop();
    const { callers } = await started;
    assert.equal(daemon.instance.stage, "stopping");
    await stopped;
    await assert.rejects(fetch(`http://127.0.0.1:${callers}/read/x`));
    assert.equal(system.daemon.instance.fleet?.members.alive.length, 1);
});

/** Settings whose stop takes the given time. */
const settingsWith = (stopMs: number) => {
    const options = { id: "entry-1", availabilityZone: "hall-a", fleet: "test", platformPort: 1 };
    const { value } = checkSettings("settings.ini", `${loopbackSettings(options)}stopMs = ${stopMs}\n`);
    assert.ok(value !== undefined);
    return value;
};
