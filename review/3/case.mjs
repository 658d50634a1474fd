/**
 * Instances are stopped and started in turn, as planned, where the platform's grace period is ten seconds. The check: no request that
 * was passed on to a server ends without an answer around the SIGTERM of its instance, except for what the rule LOST excuses.
 */

import { Client } from "../lib/client.mjs";
import { operatorConfiguration, route, runCase } from "../lib/deployment.mjs";
import { sleep, waitUntil } from "../lib/net.mjs";
import { Record } from "../lib/record.mjs";
import { Server } from "../lib/server.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["hall-a", "hall-b", "gate-pier"];
const clientsPerInstance = 10;

/** How often each instance is stopped and started. */
const rounds = 2;
const host = "check-in.example";

/** Routes and times of the site file; the work stays below the largest there. */
const kinds = {
    "bag-trace": { method: "GET", timeoutMs: 6000, deadlineMs: 12_000, workMs: [800, 5200], share: 0.5 },
    "flight-status": { method: "GET", timeoutMs: 5000, deadlineMs: 10_000, workMs: [350, 2800], share: 0.25 },
    "pass-issue": { method: "POST", timeoutMs: 3000, deadlineMs: 6000, workMs: [180, 1400], share: 0.25 },
};

const serverCounts = { flightinfo: 15, boarding: 6 };

/** Bounds of the site, and those of the rule LOST that follow. */
const bounds = { Grace: "10s", Drain: "3000ms", ConfigApply: "3000ms" };
const graceMs = 10_000;
const excusedSendMs = 3000;
const excusedWorkMs = graceMs * 5 / 6;
const plannedMs = graceMs + 1000;

const record = new Record(new URL("record.txt", import.meta.url).pathname);
const between = (low, high) => Math.round(low + (high - low) * Math.random());

const randomKind = () => {
    let rest = Math.random();
    return Object.keys(kinds).find(name => (rest -= kinds[name].share) < 0) ?? "bag-trace";
};

/** A client that keeps its connection as long as the instance does, and goes to an instance that is ready otherwise. */
const runClient = async (deployment, home, untilMs, attempts) => {
    const sessions = deployment.instances.map(({ front }) => new Client(front, record));
    let index = home;
    while (performance.now() < untilMs()) {
        const kind = randomKind();
        const { method, deadlineMs, workMs } = kinds[kind];
        const instance = deployment.instances[index];
        const result = await sessions[index].send({
            method,
            host,
            path: `/${kind}/${between(...workMs)}`,
            deadlineMs,
            body: method === "POST" ? "{}" : undefined,
        });
        attempts.push({ ...result, kind, instance });
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

const newServers = () =>
    Object.entries(serverCounts).flatMap(([service, count]) =>
        Array.from({ length: count }, (_, index) => ({
            server: new Server({
                id: `${service}-${index + 1}`,
                record,
                slots: 3,
                workMs: ({ path }) => Number(path.split("/").at(-1)),
            }),
            service,
            zone: zones[index % zones.length],
        }))
    );

const routes = [
    route("bag-trace", host, { Service: "flightinfo", Timeout: "6000ms", TargetLatency: "2000ms", Priority: 2 }),
    route("flight-status", host, { Service: "flightinfo", Timeout: "5000ms", TargetLatency: "1200ms", Priority: 2 }),
    route("pass-issue", host, { Service: "boarding", Kind: "unsafe", Timeout: "3000ms", TargetLatency: "600ms" }),
];

const play = async deployment => {
    await deployment.start({
        configuration: operatorConfiguration(1, routes, 2400),
        servers: newServers(),
        zones,
        budgetSlack: 430,
        bounds,
    });
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
        await sleep(hasTrouble ? 4000 : 10_000);
    }
    endMs = performance.now();
    await Promise.all(clients);
    const runsOf = id => deployment.servers.flatMap(server => server.runs).filter(({ attempt }) => attempt === id);
    const answered = attempts.filter(({ status }) => status === 200).length;
    record.add(`${attempts.length} attempts, ${answered} with an answer of a server`);
    const describe = ({ attempt, kind, ended, sentMs, endMs: end }, { instance, termMs }) => {
        const seconds = ms => (ms / 1000).toFixed(2);
        const servers = runsOf(attempt).map(({ server }) => server).join(" and ");
        return `LOST: ${attempt} (${kind}), run by ${servers}, sent ${seconds(sentMs - termMs)} s and ended ${
            seconds(end - termMs)
        } s after SIGTERM to ${instance.name}, after ${seconds(end - sentMs)} s: ${ended}`;
    };
    return stops.flatMap(stop =>
        attempts.filter(attempt => isLost(attempt, runsOf(attempt.attempt), stop)).map(attempt => describe(attempt, stop))
    );
};

await runCase(record, play);
