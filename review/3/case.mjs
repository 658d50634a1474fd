/**
 * An instance is stopped as planned while its clients keep using their connections. The check: no request that was sent later than
 * three seconds after SIGTERM, and was passed on to a server, ends without an answer before its deadline and the route's timeout.
 */

import { Client } from "../lib/client.mjs";
import { operatorConfiguration, route, runCase } from "../lib/deployment.mjs";
import { sleep, waitUntil } from "../lib/net.mjs";
import { Record } from "../lib/record.mjs";
import { Server } from "../lib/server.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["espoo-a", "vantaa-b", "kerava-c"];
const clientsPerInstance = 20;

/** How often each instance is stopped and started. */
const rounds = 2;
const host = "cards.example";

/** Routes, servers and times of the site file; the work stays below the largest there. */
const kinds = {
    statement: { method: "GET", service: "raportti", servers: 13, timeoutMs: 5000, deadlineMs: 10_000, workMs: [2500, 4100] },
    redeem: { method: "POST", service: "lunastus", servers: 7, timeoutMs: 2500, deadlineMs: 5000, workMs: [150, 2100] },
};

/** Bounds of the rule LOST. */
const graceMs = 6000;
const excusedSendMs = 3000;
const excusedWorkMs = graceMs * 5 / 6;
const plannedMs = graceMs + 1000;

const record = new Record(new URL("record.txt", import.meta.url).pathname);
const between = (low, high) => Math.round(low + (high - low) * Math.random());

/** A client that keeps its connection as long as the instance does, and goes to an instance that is ready otherwise. */
const runClient = async (deployment, home, untilMs, attempts) => {
    const sessions = deployment.instances.map(({ front }) => new Client(front, record));
    let index = home;
    while (performance.now() < untilMs()) {
        const name = Math.random() < 0.5 ? "statement" : "redeem";
        const { method, deadlineMs, workMs } = kinds[name];
        const instance = deployment.instances[index];
        const result = await sessions[index].send({
            method,
            host,
            path: `/${name}/${between(...workMs)}`,
            deadlineMs,
            body: method === "POST" ? "{}" : undefined,
        });
        attempts.push({ ...result, kind: name, instance });
        const hasClosed = result.status === undefined || result.headers.connection === "close";
        if (hasClosed) {
            const ready = await Promise.all(deployment.instances.map(other => other.isReady()));
            index = Math.max(0, ready.indexOf(true));
        }
        await sleep(between(5, 200));
    }
    sessions.forEach(session => session.close());
};

/** Whether an attempt is lost in the sense of the rule around the SIGTERM of its instance. */
const isLost = (attempt, runs, { instance, termMs }) => {
    const { kind, sentMs, endMs, ended } = attempt;
    const { timeoutMs, deadlineMs } = kinds[kind];
    const isPlanned = attempt.instance === instance && endMs >= termMs && endMs <= termMs + plannedMs;
    const isAnswered = attempt.status !== undefined && ended === "complete";
    const hasTimedOut = endMs - sentMs >= Math.min(timeoutMs, deadlineMs);
    const wasAtWorkLate = runs.some(({ answered }) => !answered) && endMs >= termMs + excusedWorkMs;
    const isExcused = sentMs <= termMs + excusedSendMs && wasAtWorkLate;
    return isPlanned && runs.length > 0 && !isAnswered && !hasTimedOut && !isExcused;
};

const play = async deployment => {
    const newServer = id => new Server({ id, record, slots: 6, workMs: ({ path }) => Number(path.split("/").at(-1)) });
    const servers = Object.values(kinds).flatMap(({ service, servers: count }) =>
        Array.from({ length: count }, (_, index) => ({
            server: newServer(`${service}-${index + 1}`),
            service,
            zone: zones[index % zones.length],
        }))
    );
    const routes = [
        route("statement", host, { Service: "raportti", Timeout: "5000ms", TargetLatency: "1500ms", Priority: 2 }),
        route("redeem", host, { Service: "lunastus", Kind: "unsafe", Timeout: "2500ms", TargetLatency: "800ms" }),
    ];
    await deployment.start({ configuration: operatorConfiguration(1, routes), servers, zones, budgetSlack: 62 });
    const attempts = [];
    const stops = [];
    let endMs = Infinity;
    const clients = deployment.instances.flatMap((_, index) =>
        Array.from({ length: clientsPerInstance }, () => runClient(deployment, index, () => endMs, attempts))
    );
    await sleep(5000);
    for (const instance of Array.from({ length: rounds }, () => deployment.instances).flat()) {
        if (hasTrouble) {
            stops.push({ instance, termMs: performance.now() });
            await instance.stop();
            instance.start();
            await waitUntil(() => instance.isReady(), 10_000);
        }
        await sleep(hasTrouble ? 5000 : 10_000);
    }
    endMs = performance.now();
    await Promise.all(clients);
    const runsOf = id => deployment.servers.flatMap(server => server.runs).filter(({ attempt }) => attempt === id);
    record.add(
        `${attempts.length} attempts, ${attempts.filter(({ status }) => status === 200).length} with an answer of a server`,
    );
    return stops.flatMap(stop =>
        attempts.filter(attempt => isLost(attempt, runsOf(attempt.attempt), stop)).map((
            { attempt, kind, ended, sentMs, endMs: end },
        ) => `LOST: ${attempt} (${kind}), sent ${
            ((sentMs - stop.termMs) / 1000).toFixed(2)
        } s after SIGTERM to ${stop.instance.name}, `
            + `run by ${runsOf(attempt).map(({ server }) => server).join(" and ")}, ended after ${
                ((end - sentMs) / 1000).toFixed(2)
            } s: ${ended}`
        )
    );
};

await runCase(record, play);
