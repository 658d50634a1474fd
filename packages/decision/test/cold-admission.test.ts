import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { SharedColdAdmission, UpstreamTracker } from "../src/index.js";

const cold = { id: upstreamId("u1"), requestsPerSecond: 2.5 };

describe("a cold upstream", () => {
    test("is left alone by an instance that does not share it, or does not know the others yet", () => {
        const admission = new SharedColdAdmission({ clock: new FakeClock(), participantsOf: () => 0 });
        assert.equal(admission.mayAdmit(cold), false);
    });

    test("gets a request from a sharer in even steps", async () => {
        const clock = new FakeClock();
        const admission = new SharedColdAdmission({ clock, participantsOf: () => 3 });
        const sentAtMs: number[] = [];
        for (let passedMs = 0; passedMs < 6000; passedMs += 10) {
            if (admission.mayAdmit(cold)) {
                admission.recordSent(cold);
                sentAtMs.push(clock.nowMs());
            }
            await clock.advance(10);
        }
        assert.deepEqual(sentAtMs, [0, 1200, 2400, 3600, 4800]);
    });

    test("is not bounded where the service names no bound", () => {
        const admission = new SharedColdAdmission({ clock: new FakeClock(), participantsOf: () => 0 });
        assert.equal(admission.mayAdmit({ ...cold, requestsPerSecond: 0 }), true);
    });
});

const upstream = (change: Readonly<Record<string, unknown>> = {}) => ({
    id: upstreamId("u1"),
    address: "127.0.0.1",
    port: 9000,
    availabilityZone: "a",
    slots: 2,
    coldMs: 0,
    startedAtMs: 100,
    ...change,
});

const open = (mayTake = true) => {
    const clock = new FakeClock();
    let sent = 0;
    const coldAdmission = { mayAdmit: () => mayTake, recordSent: () => void (sent += 1) };
    const beliefs = new UpstreamTracker({ clock, availabilityZone: "a", coldAdmission });
    const configure = (change: Readonly<Record<string, unknown>> = {}): void =>
        beliefs.configure({ upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 }, 10, [upstream(change)]);
    const facts = () => beliefs.facts()[0]!;
    configure();
    return { clock, beliefs, configure, facts, sent: () => sent };
};

describe("an upstream that becomes cold without leaving", () => {
    test("by its listing, is cold for that time and takes what is admitted only", async () => {
        const { clock, configure, facts } = open(false);
        configure({ coldMs: 3000 });
        assert.deepEqual([facts().state, facts().limit], ["cold", 0]);
        await clock.advance(3000);
        assert.equal(facts().state, "ready");
        assert.ok(facts().limit > 0);
    });

    test("by its own word, is cold", () => {
        const { beliefs, facts } = open();
        beliefs.observe(upstreamId("u1"), { type: "cooled", atMs: 0, coldMs: 500 }, 100);
        assert.equal(facts().state, "cold");
    });

    test("stays no longer cold because the same listing is taken over again", async () => {
        const { clock, beliefs, facts } = open();
        const listed = upstream({ coldMs: 1000 });
        const service = { upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 };
        beliefs.configure(service, 10, [listed]);
        await clock.advance(900);
        beliefs.configure(service, 10, [listed]);
        await clock.advance(100);
        assert.equal(facts().state, "ready");
    });

    test("takes one of two requests that were decided in the same moment", () => {
        const clock = new FakeClock();
        const coldAdmission = new SharedColdAdmission({ clock, participantsOf: () => 1 });
        const beliefs = new UpstreamTracker({ clock, availabilityZone: "a", coldAdmission });
        const listed = upstream({ coldMs: 1000 });
        beliefs.configure({ upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 }, 10, [listed]);
        assert.equal(beliefs.admits(listed), true);
        beliefs.startRequest(listed.id);
        assert.equal(beliefs.admits(listed), false);
    });

    test("counts what is sent to it", () => {
        const { beliefs, configure, sent } = open();
        configure({ coldMs: 1000 });
        beliefs.startRequest(upstreamId("u1"));
        assert.equal(sent(), 1);
    });
});

interface Case {
    readonly name: string;
    readonly act: (parts: ReturnType<typeof open>) => void;
    readonly state: string;
    readonly inFlight?: number;
    readonly reported?: number;
}

const id = upstreamId("u1");

const cases: readonly Case[] = [
    {
        name: "is believed nothing of, whatever was known of the one before",
        act: ({ beliefs, configure }) => {
            beliefs.startRequest(id);
            beliefs.observe(id, { type: "reported", atMs: 0, inFlight: 5 }, 100);
            configure({ startedAtMs: 200 });
        },
        state: "ready",
    },
    {
        name: "does not leave because the one before did",
        act: ({ beliefs, configure }) => {
            beliefs.observe(id, { type: "draining", atMs: 0 }, 100);
            configure({ startedAtMs: 200 });
        },
        state: "ready",
    },
    {
        name: "does not leave by late news of the one before",
        act: ({ beliefs, configure }) => {
            configure({ startedAtMs: 200 });
            beliefs.observe(id, { type: "draining", atMs: 50 }, 100);
        },
        state: "ready",
    },
    {
        name: "leaves by news of its own",
        act: ({ beliefs, configure }) => {
            configure({ startedAtMs: 200 });
            beliefs.observe(id, { type: "draining", atMs: 50 }, 200);
        },
        state: "draining",
    },
    {
        name: "is not loaded by an answer that the one before gave late",
        act: ({ beliefs, configure }) => {
            configure({ startedAtMs: 200 });
            beliefs.observe(id, { type: "reported", atMs: 0, inFlight: 5 }, 100);
        },
        state: "ready",
    },
    {
        name: "keeps its own requests when one that went to the one before ends",
        act: ({ beliefs, configure }) => {
            const before = beliefs.startRequest(id);
            configure({ startedAtMs: 200 });
            beliefs.startRequest(id);
            beliefs.finishRequest(before);
        },
        state: "ready",
        inFlight: 1,
    },
    {
        name: "is cold as its listing says",
        act: ({ configure }) => configure({ startedAtMs: 200, coldMs: 3000 }),
        state: "cold",
    },
];

describe("a start under the id of an earlier one", () => {
    cases.forEach(({ name, act, state, inFlight = 0, reported = -1 }) => {
        test(name, () => {
            const parts = open();
            act(parts);
            const facts = parts.facts();
            assert.deepEqual([facts.state, facts.inFlight, facts.reportedInFlight], [state, inFlight, reported]);
        });
    });
});

/** The most requests that one cold upstream gets in any second from many instances that all would like to send there. */
const mostInASecond = async (views: readonly number[]): Promise<number> => {
    const clock = new FakeClock();
    const random = new SeededRandom(9);
    // Each view of the fleet has three sharers of its own.
    const sharers = views.flatMap(size =>
        Array.from({ length: size }, () => new SharedColdAdmission({ clock, participantsOf: () => 3 }))
    );
    const arrivals: number[] = [];
    for (let passedMs = 0; passedMs < 20_000; passedMs += 10) {
        sharers.filter(() => random.next() < 0.2).filter(each => each.mayAdmit(cold)).forEach(each => {
            each.recordSent(cold);
            arrivals.push(clock.nowMs());
        });
        await clock.advance(10);
    }
    return Math.max(...arrivals.map(atMs => arrivals.filter(other => other >= atMs && other < atMs + 1000).length));
};

test("three sharers stay at three requests in any second, and three views of the fleet without a common member at nine", async () => {
    assert.equal(await mostInASecond([3]), 3);
    assert.ok(await mostInASecond([3, 3, 3]) <= 9);
});
