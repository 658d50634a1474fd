/**
 * Guards against cold upstreams that receive more requests than they sustain, and against state of a previous incarnation
 * that is applied to a new one.
 */

import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { SharedColdAdmission, UpstreamTracker } from "../src/index.js";

const cold = { id: upstreamId("u1"), requestsPerSecond: 2.5 };

describe("a cold upstream", () => {
    test("receives nothing from an instance that is no participant, or has not discovered the other members yet", () => {
        const admission = new SharedColdAdmission({ clock: new FakeClock(), participantsOf: () => 0 });
        assert.equal(admission.mayAdmit(cold), false);
    });

    test("receives requests from a participant at even intervals", async () => {
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

    test("has no rate limit if the service configures none", () => {
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

const setUp = (mayAdmit = true) => {
    const clock = new FakeClock();
    let sent = 0;
    const coldAdmission = { mayAdmit: () => mayAdmit, recordSent: () => void (sent += 1) };
    const tracker = new UpstreamTracker({ clock, availabilityZone: "a", coldAdmission });
    const configure = (change: Readonly<Record<string, unknown>> = {}): void =>
        tracker.configure({ upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 }, 10, [upstream(change)]);
    const facts = () => tracker.facts()[0]!;
    configure();
    return { clock, tracker, configure, facts, sent: () => sent };
};

describe("an upstream that becomes cold without a restart", () => {
    test("is cold for the time in its directory entry, and receives only admitted requests", async () => {
        const { clock, configure, facts } = setUp(false);
        configure({ coldMs: 3000 });
        assert.deepEqual([facts().state, facts().limit], ["cold", 0]);
        await clock.advance(3000);
        assert.equal(facts().state, "ready");
        assert.ok(facts().limit > 0);
    });

    test("is cold after its own notice", () => {
        const { tracker, facts } = setUp();
        tracker.observe(upstreamId("u1"), { type: "cooled", atMs: 0, coldMs: 500 }, 100);
        assert.equal(facts().state, "cold");
    });

    test("does not stay cold for longer when the same entry is applied again", async () => {
        const { clock, tracker, facts } = setUp();
        const entry = upstream({ coldMs: 1000 });
        const service = { upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 };
        tracker.configure(service, 10, [entry]);
        await clock.advance(900);
        tracker.configure(service, 10, [entry]);
        await clock.advance(100);
        assert.equal(facts().state, "ready");
    });

    test("admits only one of two requests that are decided at the same moment", () => {
        const clock = new FakeClock();
        const coldAdmission = new SharedColdAdmission({ clock, participantsOf: () => 1 });
        const tracker = new UpstreamTracker({ clock, availabilityZone: "a", coldAdmission });
        const entry = upstream({ coldMs: 1000 });
        tracker.configure({ upstreams: [], maximumConnections: 100, coldRequestsPerSecond: 2.5 }, 10, [entry]);
        assert.equal(tracker.admits(entry), true);
        tracker.startRequest(entry.id);
        assert.equal(tracker.admits(entry), false);
    });

    test("counts the requests that are sent to it", () => {
        const { tracker, configure, sent } = setUp();
        configure({ coldMs: 1000 });
        tracker.startRequest(upstreamId("u1"));
        assert.equal(sent(), 1);
    });
});

interface Case {
    readonly name: string;
    readonly act: (parts: ReturnType<typeof setUp>) => void;
    readonly state: string;
    readonly inFlight?: number;
    readonly reported?: number;
}

const id = upstreamId("u1");

const cases: readonly Case[] = [
    {
        name: "starts without the estimate of the previous one",
        act: ({ tracker, configure }) => {
            tracker.startRequest(id);
            tracker.observe(id, { type: "reported", atMs: 0, inFlight: 5 }, 100);
            configure({ startedAtMs: 200 });
        },
        state: "ready",
    },
    {
        name: "is not draining because the previous one was",
        act: ({ tracker, configure }) => {
            tracker.observe(id, { type: "draining", atMs: 0 }, 100);
            configure({ startedAtMs: 200 });
        },
        state: "ready",
    },
    {
        name: "ignores a late draining notice of the previous one",
        act: ({ tracker, configure }) => {
            configure({ startedAtMs: 200 });
            tracker.observe(id, { type: "draining", atMs: 50 }, 100);
        },
        state: "ready",
    },
    {
        name: "is draining after its own notice",
        act: ({ tracker, configure }) => {
            configure({ startedAtMs: 200 });
            tracker.observe(id, { type: "draining", atMs: 50 }, 200);
        },
        state: "draining",
    },
    {
        name: "ignores a late load report of the previous one",
        act: ({ tracker, configure }) => {
            configure({ startedAtMs: 200 });
            tracker.observe(id, { type: "reported", atMs: 0, inFlight: 5 }, 100);
        },
        state: "ready",
    },
    {
        name: "keeps its requests in flight when a request to the previous one ends",
        act: ({ tracker, configure }) => {
            const previous = tracker.startRequest(id);
            configure({ startedAtMs: 200 });
            tracker.startRequest(id);
            tracker.finishRequest(previous);
        },
        state: "ready",
        inFlight: 1,
    },
    {
        name: "is cold for the time in its directory entry",
        act: ({ configure }) => configure({ startedAtMs: 200, coldMs: 3000 }),
        state: "cold",
    },
];

describe("a new incarnation with the id of a previous one", () => {
    cases.forEach(({ name, act, state, inFlight = 0, reported = -1 }) => {
        test(name, () => {
            const parts = setUp();
            act(parts);
            const facts = parts.facts();
            assert.deepEqual([facts.state, facts.inFlight, facts.reportedInFlight], [state, inFlight, reported]);
        });
    });
});

/** Returns the most requests that one cold upstream receives in any second from the participants of separate parts of a fleet. */
const mostInASecond = async (partSizes: readonly number[]): Promise<number> => {
    const clock = new FakeClock();
    const random = new SeededRandom(9);
    // Each part of the fleet has its own three participants.
    const participants = partSizes.flatMap(size =>
        Array.from({ length: size }, () => new SharedColdAdmission({ clock, participantsOf: () => 3 }))
    );
    const arrivals: number[] = [];
    for (let passedMs = 0; passedMs < 20_000; passedMs += 10) {
        participants.filter(() => random.next() < 0.2).filter(each => each.mayAdmit(cold)).forEach(each => {
            each.recordSent(cold);
            arrivals.push(clock.nowMs());
        });
        await clock.advance(10);
    }
    return Math.max(...arrivals.map(atMs => arrivals.filter(other => other >= atMs && other < atMs + 1000).length));
};

test("three participants send at most three requests in any second, and three parts of a fleet at most nine", async () => {
    assert.equal(await mostInASecond([3]), 3);
    assert.ok(await mostInASecond([3, 3, 3]) <= 9);
});
