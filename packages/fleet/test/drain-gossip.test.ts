import { FakeClock, SeededRandom } from "@harrierhitch/core";
import type { Observation } from "@harrierhitch/protocol";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { DrainGossip } from "../src/index.js";
import { FakeFleet } from "./fake-fleet.js";

/** Links over which each instance of the model tells what is news to it. */
const linksEach = 3;

/** Shortest time between two tellings of one instance of the model. */
const gapMs = 20;

interface Model {
    readonly instances: number;
    /** Instances that see the same upstream leave, a few milliseconds after each other. */
    readonly observers: number;
    readonly wayMs: number;
    readonly lossShare: number;
    readonly repeatShare: number;
    readonly seed: number;
}

interface Spread {
    readonly messages: number;
    /** Instances that took the observation in as news, counted each time. */
    readonly news: number;
    /** Instances that know it in the end. */
    readonly knowing: number;
    readonly lastNewsAtMs: number;
}

/** Lets an observation spread: whoever hears news tells its links, as links do. */
const spread = async ({ instances, observers, wayMs, lossShare, repeatShare, seed }: Model): Promise<Spread> => {
    const clock = new FakeClock();
    const random = new SeededRandom(seed);
    const counts = { messages: 0, news: 0, lastNewsAtMs: 0 };
    const all = Array.from({ length: instances }, (_, index) => {
        const links = [1, ...Array.from({ length: linksEach - 1 }, () => 1 + Math.floor(random.next() * (instances - 1)))];
        return { rumors: new DrainGossip({ clock }), links: links.map(step => (index + step) % instances), isDue: false };
    });
    const deliver = (to: number, observations: readonly Observation[]): void => {
        if ((all[to]?.rumors.merge(observations).length ?? 0) > 0) {
            counts.news += 1;
            counts.lastNewsAtMs = clock.nowMs();
            tell(to);
        }
    };
    const send = (to: number, observations: readonly Observation[]): void => {
        counts.messages += 1;
        if (random.next() >= lossShare) {
            clock.after(wayMs * (0.1 + 1.8 * random.next()), () => deliver(to, observations));
        }
    };
    const tell = (from: number): void => {
        const node = all[from]!;
        if (node.isDue) {
            return;
        }
        node.isDue = true;
        clock.after(gapMs, () => {
            node.isDue = false;
            const observations = node.rumors.pending();
            node.links.forEach(to => {
                send(to, observations);
                if (random.next() < repeatShare) {
                    send(to, observations);
                }
            });
        });
    };
    Array.from({ length: observers }, (_, index) =>
        clock.after(index * 7, () => {
            if (all[index]!.rumors.record("u1", 5)) {
                tell(index);
            }
        }));
    await clock.advance(120_000);
    const knowing = all.filter(({ rumors }) => !rumors.record("u1", 5)).length;
    return { ...counts, knowing };
};

describe("an observation", () => {
    const cases = [
        { observers: 1, wayMs: 5 },
        { observers: 2, wayMs: 5 },
        { observers: 4, wayMs: 20 },
        { observers: 8, wayMs: 200 },
        { observers: 16, wayMs: 1000 },
    ];
    cases.forEach(({ observers, wayMs }) => {
        test(`that ${observers} of 19 instances make is told once over each link at most, with ways of ${wayMs} ms`, async () => {
            const { messages, news } = await spread({ instances: 19, observers, wayMs, lossShare: 0, repeatShare: 0, seed: 1 });
            assert.ok(messages <= 19 * linksEach, `${messages} messages`);
            assert.ok(news <= 19, `${news} times taken as news`);
        });
    });

    test("spreads and ends, whatever the size, the observers, the ways, losses and repeats", async () => {
        const model = fc.record({
            instances: fc.integer({ min: 5, max: 312 }),
            observers: fc.integer({ min: 1, max: 5 }),
            wayMs: fc.integer({ min: 1, max: 1000 }),
            lossShare: fc.constantFrom(0, 0.1, 0.3),
            repeatShare: fc.constantFrom(0, 0.3),
            seed: fc.integer({ min: 1, max: 1_000_000 }),
        });
        await fc.assert(
            fc.asyncProperty(model, async options => {
                const { messages, news, knowing } = await spread(options);
                assert.ok(messages <= options.instances * linksEach * 2, `${messages} messages`);
                assert.ok(news <= options.instances, `${news} times taken as news`);
                assert.ok(options.lossShare > 0 || knowing === options.instances, `${knowing} know it`);
            }),
            { seed: 3, numRuns: 25 },
        );
    });

    test("of an earlier start never undoes one of a later start, in any order and any number of deliveries", () => {
        const facts = fc.array(fc.record({ upstream: fc.constantFrom("a", "b"), start: fc.nat(4) }), {
            minLength: 1,
            maxLength: 12,
        });
        fc.assert(
            fc.property(facts, fc.nat(1_000_000), (list, seed) => {
                const random = new SeededRandom(seed + 1);
                const clock = new FakeClock();
                const observations = list.flatMap(({ upstream, start }) => {
                    const source = new DrainGossip({ clock });
                    source.record(upstream, start);
                    return source.pending();
                });
                const shuffled = [...observations, ...observations]
                    .map(observation => ({ observation, draw: random.next() }))
                    .sort((a, b) => a.draw - b.draw)
                    .map(({ observation }) => observation);
                const inOrder = new DrainGossip({ clock });
                const inDisorder = new DrainGossip({ clock });
                inOrder.merge(observations);
                shuffled.forEach(observation => inDisorder.merge([observation]));
                const stateOf = (rumors: DrainGossip) =>
                    rumors.pending().map(({ upstream, startedAtMs }) => `${upstream} ${startedAtMs}`).sort();
                assert.deepEqual(stateOf(inDisorder), stateOf(inOrder));
            }),
            { seed: 4, numRuns: 200 },
        );
    });

    test("is told for a while only, and one that comes back late from a slow way is no news", async () => {
        const clock = new FakeClock();
        const rumors = new DrainGossip({ clock });
        const other = new DrainGossip({ clock });
        other.record("u1", 1);
        const told = other.pending();
        rumors.merge(told);
        await clock.advance(10_001);
        assert.deepEqual(rumors.pending(), []);
        assert.deepEqual(rumors.merge(told), []);
    });
});

/** Messages that a fleet delivers in a time. */
const messagesIn = async (fleet: FakeFleet, forMs: number): Promise<number> => {
    const before = fleet.messages;
    await fleet.clock.advance(forMs);
    return fleet.messages - before;
};

test("a fleet of 18 in which five see one upstream leave is silent again a second later", async () => {
    const fleet = new FakeFleet(7, { maximumDelayMs: 200, dropShare: 0, repeatShare: 0 });
    const ids = Array.from({ length: 18 }, (_, index) => `n${index}`);
    ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
    await fleet.clock.advance(10_000);
    const quiet = await messagesIn(fleet, 5000);
    ids.slice(0, 5).forEach(id => fleet.node(id).fleet.announceDraining("main-1", 1));
    await fleet.clock.advance(1500);
    const afterwards = await messagesIn(fleet, 5000);
    assert.ok(afterwards <= quiet * 1.2, `${afterwards} messages, ${quiet} before`);
    const known = fleet.running.filter(node => node.fleet.drainGossip.pending().length === 1);
    assert.equal(known.length, 18);
});

test("a link makes ten exchanges a second at most, however much comes up", async () => {
    const fleet = new FakeFleet(8);
    ["n0", "n1"].forEach(id => fleet.start(id, ["n0"]));
    await fleet.clock.advance(8000);
    const before = fleet.messages;
    for (let passedMs = 0; passedMs < 3000; passedMs += 5) {
        fleet.node("n0").fleet.gossipNow();
        await fleet.clock.advance(5);
    }
    // Two links, each with a task for questions and one for news that are urgent, and the answers that these end.
    assert.ok(fleet.messages - before <= 4 * 10 * 3 + 8, `${fleet.messages - before} messages in 3 s`);
});

describe("a real fleet in which several see one upstream leave", () => {
    const sizes = [
        { size: 5, observers: 1, maximumDelayMs: 20, cutShare: 0.2, seed: 11 },
        { size: 40, observers: 8, maximumDelayMs: 400, cutShare: 0.2, seed: 12 },
        { size: 95, observers: 16, maximumDelayMs: 1000, cutShare: 0.2, seed: 13 },
        { size: 95, observers: 16, maximumDelayMs: 200, cutShare: 0, seed: 14 },
    ];
    sizes.forEach(({ size, observers, maximumDelayMs, cutShare, seed }) => {
        const name = `${size} instances, ${observers} observers, ways up to ${maximumDelayMs} ms, ${cutShare * 100} % cut off`;
        test(`is silent again: ${name}`, async () => {
            const fleet = new FakeFleet(seed, { maximumDelayMs, dropShare: 0.05, repeatShare: 0.1 });
            const ids = Array.from({ length: size }, (_, index) => `n${index}`);
            ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
            await fleet.clock.advance(10_000);
            const quiet = await messagesIn(fleet, 8000);
            const before = fleet.messages;
            const cutOff = ids.filter(() => fleet.random.next() < cutShare);
            fleet.split(cutOff, ids.filter(id => !cutOff.includes(id)));
            ids.slice(0, observers).forEach(id => fleet.node(id).fleet.announceDraining("main-1", 1));
            await fleet.clock.advance(300);
            ids.filter(() => fleet.random.next() < cutShare / 4).forEach(id => fleet.start(id, ids.slice(0, 3)));
            await fleet.clock.advance(1700);
            fleet.heal();
            await fleet.clock.advance(6000);
            const during = fleet.messages - before;
            assert.ok(during <= quiet * 2 + size * 8, `${during} messages in 8 s with it, ${quiet} without`);
            const unaware = fleet.running.filter(node =>
                !node.fleet.drainGossip.pending().some(({ upstream }) => upstream === "main-1")
            );
            // Whom a cut kept from hearing it hears it from the upstream itself, or from the platform.
            assert.ok(cutShare > 0 || unaware.length === 0, `${unaware.length} do not know it`);
            const afterwards = await messagesIn(fleet, 8000);
            assert.ok(afterwards <= quiet * 1.3 + size, `${afterwards} messages in 8 s afterwards, ${quiet} before`);
        });
    });
});
