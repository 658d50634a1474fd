/**
 * Guards against a rolling restart of the fleet that aborts or repeats requests, or reverts the configuration.
 */

import type { Daemon, DaemonPorts } from "@harrierhitch/daemon";
import assert from "node:assert/strict";
import { after, test } from "node:test";
import { startDaemon, startSystem, waitUntil } from "./system.js";

const settings = "[limits]\nstopDelayMs = 300\nstopMs = 5300\n";

test("while all instances are replaced under load, no request is aborted or repeated and no generation reverts", async () => {
    const system = await startSystem({ upstreams: [{ meanServiceMs: 5 }, { meanServiceMs: 5 }, { meanServiceMs: 5 }], settings });
    const running = new Map<number, { readonly daemon: Daemon; readonly ports: DaemonPorts; }>([[1, {
        daemon: system.daemon,
        ports: system.ports,
    }]]);
    const start = async (number: number): Promise<void> => {
        const seedPorts = [...running.values()].map(entry => entry.ports.peers);
        const daemon = startDaemon(system.platformPort, settings, `entry-${number}`, "", seedPorts);
        const ports = await daemon.start();
        await waitUntil(() => daemon.instance.stage === "serving");
        running.set(number, { daemon, ports });
        await waitUntil(() =>
            [...running.values()].every(entry => entry.daemon.instance.fleet?.members.alive.length === running.size)
        );
    };
    await start(2);
    await start(3);
    after(async () => {
        isStopped = true;
        await Promise.all([...running.values()].map(entry => entry.daemon.stop()));
        await system.stop();
    });
    const responses: { readonly status: number; readonly outcome: string | null; }[] = [];
    const failures: unknown[] = [];
    let isStopped = false;
    const call = async (worker: number): Promise<void> => {
        for (let count = 0; !isStopped; count += 1) {
            const ready = [...running.values()].filter(entry => entry.daemon.instance.stage === "serving");
            const { ports } = ready[(worker + count) % ready.length]!;
            const key = `replace-${worker}-${count}`;
            try {
                const response = await fetch(`http://127.0.0.1:${ports.callers}/issue`, {
                    method: "POST",
                    headers: { "idempotency-key": key },
                    body: key,
                });
                await response.text();
                responses.push({ status: response.status, outcome: response.headers.get("x-request-outcome") });
            }
            catch (error) {
                failures.push(error);
            }
        }
    };
    const load = Promise.all(Array.from({ length: 6 }, (_, worker) => call(worker)));
    const generations: number[] = [];
    for (const [index, number] of [1, 2, 3].entries()) {
        const { daemon } = running.get(number)!;
        system.platform.publish("configuration", system.document(index + 2));
        await waitUntil(() => [...running.values()].every(entry => entry.daemon.instance.generation === index + 2));
        const stopped = daemon.stop();
        running.delete(number);
        await stopped;
        await start(number + 3);
        generations.push(running.get(number + 3)!.daemon.instance.generation!);
    }
    isStopped = true;
    await load;
    const runs = system.upstreams.flatMap(upstream => [...upstream.runs]);
    assert.deepEqual(failures, []);
    assert.equal(new Set(runs.map(([key]) => key)).size, runs.length);
    assert.ok(runs.every(([, count]) => count === 1));
    assert.deepEqual(generations, [2, 3, 4]);
    assert.ok(responses.length > 50 && responses.every(response => response.outcome !== null));
    const ran = responses.filter(response => response.outcome === "ran").length;
    assert.equal(ran <= runs.length, true);
    assert.ok(ran > responses.length * 0.9, `${ran} of ${responses.length} ran`);
});
