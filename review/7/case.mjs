/**
 * A version of the configuration adds two routes whose prefixes differ behind a colon, and moves a route; rule CONFIG.
 */

import { judgeMovedRoute } from "../lib2/moved-route.mjs";
import { countBy, exits, hasTrouble, runCase, wait } from "../lib2/world.mjs";

const configApplyMs = 2000;
const addedPrefixes = ["/seats:hold/", "/seats:free/"];

const route = (Name, PathPrefix, Service) => ({
    Name,
    Host: "host.example",
    PathPrefix,
    Kind: "safe",
    Timeout: "2000ms",
    TargetLatency: "300ms",
    Priority: 2,
    Service,
    MaxAttempts: 2,
});

/** Records how requests on the added routes were answered once the version is to be in force. */
const judgeAdded = (world, acknowledgedAtMs, added) => {
    const later = world.sent.filter(({ path, sentAtMs }) =>
        sentAtMs > acknowledgedAtMs + configApplyMs && added.some(prefix => path.startsWith(prefix))
    );
    const results = countBy(later, ({ path, status, error }) => `${path} ${status ?? error}`);
    world.record(`on the added routes, sent more than ${configApplyMs} ms after the acknowledgement: ${JSON.stringify(results)}`);
    return later.some(({ status }) => status === 404);
};

await runCase(import.meta.url, async world => {
    const services = ["old", "new"];
    await world.publish([route("r-main", "/main/", "old")], services);
    for (const service of ["old", "old", "new", "new"]) {
        await world.addServer(service);
    }
    await world.startInstances(3);
    const added = hasTrouble ? addedPrefixes : addedPrefixes.slice(0, 1);
    let paths = ["/main/x"];
    let sent = 0;
    const request = () => {
        sent += 1;
        return { method: "GET", path: paths[sent % paths.length], host: "host.example", deadlineMs: 2000 };
    };
    const clients = world.instances.flatMap(instance =>
        Array.from({ length: 4 }, () => world.runClient(instance, request, 50))
    );
    await wait(2000);
    const routes = [route("r-main", "/main/", "new"), ...added.map((prefix, index) => route(`r-added-${index}`, prefix, "new"))];
    const { version } = await world.publish(routes, services);
    const acknowledgedAtMs = world.nowMs;
    world.record(`version ${version} adds ${added.join(" and ")}, and moves the route /main/ to another service`);
    await wait(configApplyMs);
    paths = ["/main/x", ...added.map(prefix => `${prefix}x`)];
    await wait(20_000);
    world.isOver = true;
    await Promise.all(clients);
    const isRefused = judgeAdded(world, acknowledgedAtMs, added);
    const status = judgeMovedRoute(world, acknowledgedAtMs);
    return isRefused ? exits.broken : status;
});
