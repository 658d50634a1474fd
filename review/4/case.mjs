/**
 * Configurations come in quick succession while requests are served; rules LOST and Fault.
 */

import { countBy, exits, hasTrouble, runCase, wait } from "../lib2/world.mjs";

const bigConfigRoutes = 1400;
const bigConfigs = 3;
const storm = { forMs: 4000, gapMs: 330 };
const storms = 14;
/** Time after which no further storm begins, in milliseconds, so that the script ends in time on a slow machine. */
const lastStormMs = 95_000;
/** Most kept connections that a machine may close without an answer. */
const maximumCut = 3;
/** Ends of processes by themselves that break the rule, on each of some machines. */
const faults = { ends: 3, machines: 2 };
const pauseMs = 1500;
const clientsPerInstance = 10;

const route = (name, index, service) => ({
    Name: name,
    Host: `host${index}.example`,
    PathPrefix: `/path${index}/`,
    Kind: "safe",
    Timeout: "5000ms",
    TargetLatency: "2000ms",
    Priority: 2,
    Service: service,
    MaxAttempts: 2,
});

/** The route of the clients; the timeout of a route that nobody calls differs in each version. */
const routesOf = (added, change) => [
    { ...route("r-main", 0, "a"), PathPrefix: "/main/" },
    { ...route("r-idle", 1, "b"), Timeout: `${4000 + change % 500}ms` },
    ...Array.from({ length: added }, (_, index) => route(`r-${String(index).padStart(6, "0")}`, index + 2, "b")),
];

const judge = world => {
    const ended = world.instances.flatMap(({ options: { name }, exits: ends }) => ends.map(({ signal }) => `${name}: ${signal}`));
    const cut = world.sent.filter(entry => entry.isKept && entry.status === undefined && world.runsOf(entry).length > 0);
    cut.forEach(entry => {
        const [sentAtMs, endedAtMs] = [entry.sentAtMs, entry.answeredAtMs].map(Math.round);
        const [{ server, atMs }] = world.runsOf(entry);
        world.record(`${entry.attemptId}: sent at ${sentAtMs} ms to ${entry.instance} on a kept connection`);
        world.record(
            `  run by ${server} at ${
                Math.round(atMs - world.startedAtMs)
            } ms, connection ended at ${endedAtMs} ms: ${entry.error}`,
        );
    });
    const byInstance = countBy(cut, ({ instance }) => instance);
    world.record(`requests by result: ${JSON.stringify(countBy(world.sent, ({ status, error }) => status ?? error))}`);
    world.record(`processes that ended by themselves: ${ended.length} (${ended.join(", ")})`);
    world.record(`kept connections closed without an answer after the request was passed on: ${JSON.stringify(byInstance)}`);
    const failing = world.instances.filter(({ exits: ends }) => ends.length >= faults.ends).length;
    world.record(`machines whose processes ended by themselves ${faults.ends} times: ${failing} of ${world.instances.length}`);
    const isLost = Object.values(byInstance).some(count => count > maximumCut);
    const isFault = failing >= faults.machines;
    world.record(`LOST ${isLost ? "is broken" : "held"}, Fault ${isFault ? "is broken" : "held"}`);
    return isLost || isFault ? exits.broken : exits.held;
};

await runCase(import.meta.url, async world => {
    const services = ["a", "b"];
    await world.publish(routesOf(0, 0), services);
    for (const service of ["a", "a", "a", "a", "b", "b"]) {
        await world.addServer(service, { workMs: () => 600, slots: 20 });
    }
    await world.startInstances(3);
    const request = () => ({ method: "GET", path: "/main/x", host: "host0.example", deadlineMs: 5000 });
    const clients = world.instances.flatMap(instance =>
        Array.from({ length: clientsPerInstance }, () => world.runClient(instance, request))
    );
    await wait(1000);
    for (let index = 1; index <= bigConfigs; index += 1) {
        const { version, bytes } = await world.publish(routesOf(index * bigConfigRoutes, 0), services);
        world.record(`big_config: version ${version} has ${index * bigConfigRoutes} more routes and ${bytes} bytes`);
        await wait(2000);
    }
    let changes = 0;
    for (let index = 0; index < storms && world.nowMs < lastStormMs; index += 1) {
        for (let atMs = 0; atMs < storm.forMs; atMs += storm.gapMs) {
            if (hasTrouble) {
                changes += 1;
                await world.publish(routesOf(bigConfigs * bigConfigRoutes, changes), services);
            }
            await wait(storm.gapMs);
        }
        world.record(`after storm ${index + 1}: ${changes} changes, ${world.sent.length} requests sent`);
        await wait(pauseMs);
    }
    world.isOver = true;
    await Promise.all(clients);
    return judge(world);
});
