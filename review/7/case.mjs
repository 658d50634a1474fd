/**
 * A machine starts again just after a server has begun to leave, and reads the store in two pages of different age; rule DRAIN.
 */

import { countBy, exits, hasTrouble, runCase, wait } from "../lib2/world.mjs";

const routes = 5600;
const drainMs = 2000;
const contactMs = 3000;
/** How old the second page is; the first is current. */
const stalePageMs = 2500;
/** From the acknowledgement that the server leaves to the start of the machine, and to the end of the server. */
const startAfterMs = 300;
const servesOnMs = 14_000;

const route = (name, index, service) => ({
    Name: name,
    Host: `host${index}.example`,
    PathPrefix: `/path${index}/`,
    Kind: "safe",
    Timeout: "2000ms",
    TargetLatency: "300ms",
    Priority: 2,
    Service: service,
    MaxAttempts: 2,
});

const judge = (world, leaving, { acknowledgedAtMs, startedAtMs }) => {
    const boundMs = Math.max(acknowledgedAtMs + drainMs, startedAtMs + contactMs);
    const late = world.sent.flatMap(entry =>
        world.runsOf(entry).filter(({ server, atMs }) => server === leaving.id && atMs - world.startedAtMs > boundMs)
            .map(({ atMs }) => ({ ...entry, afterMs: Math.round(atMs - world.startedAtMs - acknowledgedAtMs) }))
    );
    late.forEach(({ attemptId, instance, afterMs }) =>
        world.record(
            `${attemptId}: reached ${leaving.id} from ${instance} ${afterMs} ms after the store acknowledged that it leaves`,
        )
    );
    world.record(`requests by result: ${JSON.stringify(countBy(world.sent, ({ status, error }) => status ?? error))}`);
    world.record(`reached the leaving server too late, by machine: ${JSON.stringify(countBy(late, ({ instance }) => instance))}`);
    world.record(late.length > 0 ? "DRAIN is broken" : "DRAIN held");
    return late.length > 0 ? exits.broken : exits.held;
};

await runCase(import.meta.url, async world => {
    const added = Array.from({ length: routes }, (_, index) => route(`r-${String(index).padStart(6, "0")}`, index + 1, "idle"));
    const { bytes } = await world.publish([{ ...route("r-main", 0, "a"), PathPrefix: "/main/" }, ...added], ["a", "idle"]);
    world.record(`the configuration has ${bytes} bytes, and so a page of its own`);
    const [leaving] = await Promise.all(["a", "a", "a", "idle"].map(service => world.addServer(service)));
    await world.startInstances(3);
    await world.store.setStalePages(hasTrouble ? stalePageMs : 0);
    const request = () => ({ method: "GET", path: "/main/x", host: "host0.example", deadlineMs: 2000 });
    const clients = world.instances.flatMap(instance => Array.from({ length: 2 }, () => world.runClient(instance, request, 50)));
    await wait(2000);
    const [restarted] = world.instances;
    await world.stop(restarted);
    await leaving.drain();
    const acknowledgedAtMs = world.nowMs;
    world.record(`the store acknowledges that ${leaving.id} leaves`);
    await wait(startAfterMs);
    const startedAtMs = world.nowMs;
    world.restart(restarted);
    world.record(`${restarted.options.name} starts again`);
    await wait(acknowledgedAtMs + servesOnMs - world.nowMs);
    await leaving.leave();
    world.record(`${leaving.id} has ended`);
    await wait(1000);
    world.isOver = true;
    await Promise.all(clients);
    return judge(world, leaving, { acknowledgedAtMs, startedAtMs });
});
