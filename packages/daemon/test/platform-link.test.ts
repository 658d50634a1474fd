/**
 * Guards against missed changes of the platform and against needless calls to it, by readers and by other instances.
 */

import { create } from "@bufbuild/protobuf";
import { FakeClock, instanceId, SeededRandom, upstreamId } from "@harrierhitch/core";
import { CrashHistory, UpstreamLimits } from "@harrierhitch/decision";
import { Fleet, selectReaders } from "@harrierhitch/fleet";
import { MemberSchema } from "@harrierhitch/protocol";
import { ActiveConfiguration, defaultFleetTimes } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { PlatformLink } from "../src/platform/platform-link.js";
import { type Platform, PlatformError, type Publication } from "../src/platform/platform.js";
import { EventLog } from "../src/telemetry/event-log.js";
import { createTestDirectory } from "./model/test-directory.js";

const watchMs = 4000;

/** A platform that records its calls; a watch for a revision behind the current one returns at once. */
class FakePlatform implements Platform {
    readonly calls: string[] = [];
    revision = 1;
    isDown = false;
    /** Number of calls that fail next. */
    failures = 0;

    constructor(private readonly clock: FakeClock) {}

    read(): Promise<Publication> {
        this.calls.push("read");
        return this.respond(0);
    }

    async watch(revision: number, _: AbortSignal, longPollMs: number): Promise<Publication> {
        this.calls.push(`watch ${longPollMs}`);
        if (!this.isDown && revision === this.revision && longPollMs > 0) {
            await new Promise<void>(resolve => this.clock.after(longPollMs, resolve));
        }
        return this.respond(revision);
    }

    private respond(afterRevision: number): Promise<Publication> {
        const { revision } = this;
        this.failures -= 1;
        return this.isDown || this.failures >= 0
            ? Promise.reject(new PlatformError("the platform is down"))
            : Promise.resolve({
                revision,
                configuration: undefined,
                listings: afterRevision < revision ? [{ upstream: upstreamId("a"), revision, text: "ready" }] : [],
                zones: [],
            });
    }
}

const member = (name: string, heartbeat: number) =>
    create(MemberSchema, {
        instance: name,
        incarnation: 1n,
        heartbeat: BigInt(heartbeat),
        availabilityZone: "zone-0",
        address: "127.0.0.1",
        port: 1,
        platformReachable: true,
    });

/** Starts a link of instance `self`, with other members that it considers alive. */
const startLink = async (others: readonly string[], hasJoined = true) => {
    const clock = new FakeClock();
    const platform = new FakePlatform(clock);
    const directory = createTestDirectory(clock);
    const random = new SeededRandom(1);
    const notUsed = (): never => {
        throw new TypeError("not used");
    };
    const fleet = new Fleet({
        clock,
        random,
        instance: instanceId("self"),
        incarnation: 1,
        fleet: "test",
        availabilityZone: "zone-0",
        address: "127.0.0.1",
        port: 2,
        seeds: [],
        clients: { to: notUsed, close: () => undefined },
        activeConfiguration: new ActiveConfiguration(),
        directory,
        crashes: new CrashHistory({ clock }),
        limits: new UpstreamLimits({ clock, instance: "self" }),
        onConfiguration: () => undefined,
        mayReadPlatform: () => false,
        onUnreadableDocument: (_, error) => {
            throw error;
        },
        onDirectory: () => undefined,
        onSizeChange: () => undefined,
        onDrainMessage: () => undefined,
        onDistributorLost: () => undefined,
        onExchange: () => undefined,
        onLimited: () => undefined,
        onUnreachable: () => undefined,
    });
    const sendHeartbeats = (): void => {
        fleet.members.merge(others.map(name => member(name, clock.nowMs())), "");
        clock.after(500, sendHeartbeats);
    };
    sendHeartbeats();
    const stall = { isOver: false };
    const link = new PlatformLink({
        platform,
        clock,
        random,
        instance: {
            fleet: hasJoined ? fleet : undefined,
            directory,
            recordPlatformFailure: () => undefined,
            applyPublication: ({ revision, listings, zones }, isSnapshot) =>
                directory.merge({ revision, isSnapshot, entries: listings, zones }),
        },
        log: new EventLog({ level: "silent" }),
        retryMs: 250,
        watchMs,
        times: defaultFleetTimes,
        willJoin: () => !hasJoined,
        hasCallers: () => true,
        checkForStall: () => stall.isOver ? link.recordStall() : undefined,
        deliveredUpToMs: () => clock.nowMs(),
    });
    link.start();
    await clock.advance(0);
    return { clock, platform, directory, fleet, link, stall };
};

/** Returns the name of a member that is the reader of a fleet of it and `self`, or is not. */
const memberName = (isReader: boolean): string => {
    const names = Array.from({ length: 50 }, (_, index) => `other-${index}`);
    return names.find(name => {
        const members = [member("self", 1), member(name, 1)];
        return (selectReaders(members)[0]?.instance === name) === isReader;
    }) ?? "";
};

describe("an instance", () => {
    test("that stalled counts the staleness of a pending response from its request", async () => {
        const { clock, fleet, link, stall } = await startLink([]);
        await clock.advance(1000);
        assert.ok(fleet.stalenessTracker.stalenessMs >= 900);
        clock.pause(6000);
        stall.isOver = true;
        await clock.advance(0);
        link.stop();
        assert.ok(fleet.stalenessTracker.stalenessMs >= 6000, `${fleet.stalenessTracker.stalenessMs} ms`);
    });

    test("that stalled during a call repeats it at once if it failed, and takes that for no outage", async () => {
        const { clock, platform, link, stall } = await startLink([]);
        await clock.advance(1000);
        platform.failures = 1;
        clock.pause(6000);
        stall.isOver = true;
        await clock.advance(0);
        link.stop();
        assert.deepEqual(platform.calls, ["read", `watch ${watchMs}`, `watch ${watchMs}`]);
        assert.equal(link.removalGraceMs, 0);
    });

    test("that stalls during each call takes the second failure for an outage", async () => {
        const { clock, platform, link, stall } = await startLink([]);
        await clock.advance(1000);
        platform.isDown = true;
        clock.pause(6000);
        stall.isOver = true;
        await clock.advance(1000);
        link.stop();
        assert.ok(link.removalGraceMs > 0);
        assert.ok(platform.calls.length <= 6, platform.calls.join(", "));
    });

    test("that is alone watches for the configured time", async () => {
        const { clock, platform, link } = await startLink([]);
        await clock.advance(9000);
        link.stop();
        assert.deepEqual(platform.calls, ["read", `watch ${watchMs}`, `watch ${watchMs}`, `watch ${watchMs}`]);
    });

    test("that is a reader confirms its state once a second", async () => {
        const { clock, platform, link, fleet } = await startLink([memberName(false)]);
        await clock.advance(3100);
        link.stop();
        assert.deepEqual(platform.calls.slice(1), ["watch 1000", "watch 1000", "watch 1000"]);
        assert.ok(fleet.stalenessTracker.stalenessMs < 1100);
    });

    test("that receives confirmations from a reader calls the platform only after 1.5 s without one", async () => {
        const { clock, platform, link, fleet } = await startLink([memberName(true)]);
        for (let round = 0; round < 3; round += 1) {
            await clock.advance(1000);
            fleet.stalenessTracker.confirm(0);
        }
        assert.deepEqual(platform.calls, ["read"]);
        platform.revision = 2;
        await clock.advance(1600);
        link.stop();
        assert.deepEqual(platform.calls, ["read", "watch 0"]);
    });

    test("that has not joined yet requests within a second the changes missing from its first, possibly stale read", async () => {
        const { clock, platform, link } = await startLink([], false);
        platform.revision = 2;
        await clock.advance(1000);
        link.stop();
        assert.deepEqual(platform.calls, ["read", "watch 0"]);
    });

    test("that is not a reader retries about every two seconds while the platform is down", async () => {
        const { clock, platform, link } = await startLink([memberName(true)]);
        await clock.advance(100);
        platform.isDown = true;
        await clock.advance(3900);
        link.stop();
        const tries = platform.calls.length - 1;
        assert.ok(tries >= 1 && tries <= 3, `${tries} tries`);
    });
});

test("an instance of a large fleet whose calls failed before reads at once when it becomes the reader", async () => {
    const others = Array.from({ length: 300 }, (_, index) => `other-${index}`);
    const { clock, platform, link, fleet } = await startLink(others);
    await clock.advance(100);
    platform.isDown = true;
    await clock.advance(4000);
    const callsBefore = platform.calls.length;
    fleet.members.merge(others.map(name => ({ ...member(name, 1e9), leaving: true })), "");
    await clock.advance(3500);
    link.stop();
    assert.ok(callsBefore > 1, `${callsBefore} calls before`);
    assert.ok(platform.calls.length - callsBefore >= 3, `${platform.calls.length - callsBefore} calls as the reader`);
});

test("a watch without changes does not advance the revision, since the platform may have missed some", async () => {
    const { clock, platform, link, directory } = await startLink([]);
    await clock.advance(100);
    platform.watch = () => Promise.resolve({ revision: 9, configuration: undefined, listings: [], zones: [] });
    await clock.advance(9000);
    link.stop();
    assert.equal(directory.revision, 1);
});
