import { checkConfiguration, type Service } from "@harrierhitch/configuration";
import { FakeClock, serviceName, type UpstreamId, upstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Observation, RetryBudget, UpstreamTracker } from "../src/index.js";

const upstreamCount = 6;

const service = (): Service => {
    const upstreams = Array.from(
        { length: upstreamCount },
        (_, index) => `[upstream.u${index}]\nservice = main\naddress = 127.0.0.1\nport = ${9000 + index}\navailabilityZone = a\n`,
    );
    const text =
        `generation = 1\n[kind.read]\nrepeatable = true\n[policy.p]\n[service.main]\npolicy = p\n[route.r]\nmethod = GET\npath = /\nservice = main\nkind = read\n${
            upstreams.join("")
        }`;
    const found = checkConfiguration("c", text).value?.services.get(serviceName("main"));
    assert.ok(found);
    return found;
};

const start = () => {
    const clock = new FakeClock();
    const beliefs = new UpstreamTracker({ clock, availabilityZone: "a" });
    beliefs.configure(service(), 18);
    const observe = (id: string, type: Observation["type"], times = 1): void => {
        Array.from({ length: times }, () => beliefs.observe(upstreamId(id), toObservation(type, clock.nowMs())));
    };
    const facts = (id: string): UpstreamFacts => {
        const found = beliefs.facts().find(each => each.id === id);
        assert.ok(found);
        return found;
    };
    return { clock, beliefs, observe, facts };
};

const toObservation = (type: Observation["type"], atMs: number): Observation => {
    switch (type) {
        case "answered":
            return { type, atMs, latencyMs: 5, failed: false, reportedInFlight: 2 };
        case "reported":
            return { type, atMs, inFlight: 3 };
        case "cooled":
            return { type, atMs, coldMs: 2000 };
        case "resting":
            return { type, atMs, backoffMs: 3000, saidAtUnixMs: 0 };
        case "limited":
            return { type, atMs, perSecond: 0.01, sentAtMs: 0 };
        default:
            return { type, atMs };
    }
};

interface Step {
    readonly observe?: readonly [id: string, type: Observation["type"], times?: number];
    readonly afterMs?: number;
}

interface Case {
    readonly name: string;
    readonly steps: readonly Step[];
    readonly states: Readonly<Record<string, UpstreamFacts["state"]>>;
}

const cases: readonly Case[] = [
    { name: "two failures do not eject", steps: [{ observe: ["u0", "failed", 2] }], states: { u0: "ready" } },
    { name: "three failures in a row eject", steps: [{ observe: ["u0", "failed", 3] }], states: { u0: "ejected" } },
    {
        name: "a success between failures does not eject",
        steps: [{ observe: ["u0", "failed", 2] }, { observe: ["u0", "answered"] }, { observe: ["u0", "failed", 2] }],
        states: { u0: "ready" },
    },
    {
        name: "no more than a third is ejected",
        steps: [{ observe: ["u0", "failed", 3] }, { observe: ["u1", "failed", 3] }, { observe: ["u2", "failed", 3] }],
        states: { u0: "ejected", u1: "ejected", u2: "suspect" },
    },
    {
        name: "an ejection ends on trial",
        steps: [{ observe: ["u0", "failed", 3] }, { afterMs: 1100 }],
        states: { u0: "suspect" },
    },
    {
        name: "a failure on trial ejects for longer",
        steps: [{ observe: ["u0", "failed", 3] }, { afterMs: 1100 }, { observe: ["u0", "failed"] }, { afterMs: 1100 }],
        states: { u0: "ejected" },
    },
    {
        name: "answers on trial bring it back",
        steps: [{ observe: ["u0", "failed", 3] }, { afterMs: 1100 }, { observe: ["u0", "answered", 3] }],
        states: { u0: "ready" },
    },
    { name: "shedding is no failure", steps: [{ observe: ["u0", "shed", 20] }], states: { u0: "ready" } },
    {
        name: "a drain lasts, whatever is answered",
        steps: [{ observe: ["u0", "draining"] }, { observe: ["u0", "answered", 9] }, { afterMs: 60_000 }],
        states: { u0: "draining" },
    },
    {
        name: "coming back is a new start",
        steps: [{ observe: ["u0", "draining"] }, { afterMs: 10 }, { observe: ["u0", "returned"] }],
        states: { u0: "cold" },
    },
    {
        name: "a new start is ready in the end",
        steps: [{ observe: ["u0", "returned"] }, { afterMs: 3100 }],
        states: { u0: "ready" },
    },
];

describe("in an instance's beliefs", () => {
    cases.forEach(({ name, steps, states }) => {
        test(name, async () => {
            const { clock, observe, facts } = start();
            for (const step of steps) {
                if (step.observe !== undefined) {
                    observe(...step.observe);
                }
                facts("u0");
                await clock.advance(step.afterMs ?? 0);
            }
            Object.entries(states).forEach(([id, state]) => assert.equal(facts(id).state, state, id));
        });
    });

    test("news of a drain from before the new start is void", async () => {
        const { clock, beliefs, observe, facts } = start();
        await clock.advance(1000);
        observe("u0", "returned");
        beliefs.observe(upstreamId("u0"), { type: "draining", atMs: 500 });
        assert.equal(facts("u0").state, "cold");
    });

    test("shedding lowers the limit and answers raise it, within the share of connections", () => {
        const { observe, facts } = start();
        const full = facts("u0").limit;
        assert.equal(full, Math.floor(200 / 18));
        observe("u0", "shed", 3);
        const lowered = facts("u0").limit;
        observe("u0", "answered", 500);
        assert.ok(lowered < full && facts("u0").limit === full);
    });

    test("ages grow while nothing is heard, also over a pause", () => {
        const { clock, observe, facts } = start();
        observe("u0", "answered");
        clock.pause(20_000);
        assert.deepEqual([facts("u0").latencyAgeMs, facts("u0").reportAgeMs], [20_000, 20_000]);
    });

    test("requests in flight are counted for each upstream, and the oldest is known", async () => {
        const { clock, beliefs, facts } = start();
        const flight = beliefs.startRequest("u1" as UpstreamId);
        await clock.advance(30);
        beliefs.startRequest("u1" as UpstreamId);
        assert.deepEqual([facts("u1").inFlight, facts("u1").oldestInFlightMs], [2, 30]);
        beliefs.finishRequest(flight);
        assert.deepEqual([facts("u1").inFlight, facts("u1").oldestInFlightMs], [1, 0]);
    });
});

test("retries are earned by requests, not by time, and bounded", () => {
    const budget = new RetryBudget({ ratio: 0.1, maximumBalance: 3 });
    assert.deepEqual([budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw()], [
        true,
        true,
        true,
        false,
    ]);
    Array.from({ length: 10 }, () => budget.deposit());
    assert.deepEqual([budget.tryWithdraw(), budget.tryWithdraw()], [true, false]);
    Array.from({ length: 1000 }, () => budget.deposit());
    assert.deepEqual(Array.from({ length: 5 }, () => budget.tryWithdraw()).filter(Boolean).length, 3);
});

describe("a fuller upstream of which no answer has told", () => {
    const load = { inFlight: 2, slots: 3, slowness: 1 };
    const u0 = upstreamId("u0");

    test("is taken for crowded, but by a trial", () => {
        const { beliefs, clock } = start();
        beliefs.observe(u0, { type: "reported", atMs: clock.nowMs(), ...load });
        assert.deepEqual([beliefs.facts()[0]?.bestInFlight, beliefs.facts(true)[0]?.bestInFlight], [2, 3]);
    });

    test("is tried by one request at a time", () => {
        const { beliefs, clock } = start();
        beliefs.observe(u0, { type: "reported", atMs: clock.nowMs(), ...load });
        assert.equal(beliefs.mayExplore, true);
        const trial = beliefs.startRequest(u0);
        assert.equal(beliefs.mayExplore, false);
        const other = beliefs.startRequest(upstreamId("u1"));
        beliefs.finishRequest(other);
        assert.equal(beliefs.mayExplore, false);
        beliefs.finishRequest(trial);
        assert.equal(beliefs.mayExplore, true);
    });

    test("is known after three answers", () => {
        const { beliefs, clock } = start();
        const work = { baselineMs: 100, latencyMs: 100, expectedSlowdown: 1, reportAgeMs: 1 };
        Array.from({ length: 10 }, () => beliefs.recordResponse({ ...work, atMs: clock.nowMs(), utilization: 0.3 }));
        Array.from({ length: 3 }, () => beliefs.recordResponse({ ...work, atMs: clock.nowMs(), utilization: 1 }));
        assert.equal(beliefs.facts()[0]?.bestInFlight, 3);
    });
});
