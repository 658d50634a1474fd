/**
 * An outage took three upstreams one after the other, and with them every run of a request that was asked for often: it
 * had not been answered since, looked like the cause, and was withheld for an hour without being tried once.
 */

import { FakeClock, type RequestId, requestId, requestKey, SeededRandom } from "@harrierhitch/core";
import type { RequestSignature } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CrashDetector } from "../src/request/crash-detector.js";
import { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";

const key = requestKey("ab".padEnd(40, "0"));
const asked = () => key;

/** Time after which what is withheld may be tried. */
const trialAfterMs = 30_000;

/** Some instances that tell each other of every run a while later. */
class Instances {
    readonly clock = new FakeClock();
    readonly detectors: readonly CrashDetector[];
    private requests = 0;

    constructor(count: number, private readonly oneWayDelayMs = 500, chosen: (pattern: RequestSignature) => number = () => 0) {
        const { clock } = this;
        this.detectors = Array.from({ length: count }, (_, index) =>
            new CrashDetector({
                clock,
                log: new EventLog({ level: "silent", clock }),
                metrics: new Metrics(false),
                onChange: () => this.tell(index),
                isTrialOwner: pattern => chosen(pattern) === index,
            }));
    }

    newRequest(): RequestId {
        this.requests += 1;
        return requestId(`entry-1.i.${this.requests}`);
    }

    isSent(index: number, request = this.newRequest()): boolean {
        return !this.detectors[index]!.shouldQuarantine(request, asked);
    }

    /** An upstream ends under the request at an instance. */
    end(index: number, request = this.newRequest()): void {
        this.detectors[index]!.recordCrash({ request, attempt: 1, key, upstream: `u${this.requests}` as never, ranMs: 50 });
        this.detectors[index]!.recordCompleted(request, true);
    }

    async crashThreeTimes(): Promise<void> {
        for (const index of [0, 0, 0]) {
            this.end(index);
            await this.clock.advance(1000);
        }
    }

    private tell(from: number): void {
        this.clock.after(this.oneWayDelayMs, () => {
            const { history: ledger } = this.detectors[from]!;
            this.detectors.forEach(({ history: other }) =>
                other === ledger || other.merge(ledger.recentEntries(other.quarantined, false), ledger.quarantined)
            );
        });
    }
}

describe("a request that is withheld", () => {
    test("is tried once after half a minute, by the one instance that is chosen", async () => {
        const instances = new Instances(3, 500, () => 1);
        await instances.crashThreeTimes();
        await instances.clock.advance(trialAfterMs - 1001);
        assert.deepEqual([0, 1, 2].map(index => instances.isSent(index)), [false, false, false]);
        await instances.clock.advance(1000);
        const trial = instances.newRequest();
        assert.deepEqual([0, 2].map(index => instances.isSent(index)), [false, false]);
        assert.equal(instances.isSent(1, trial), true);
        assert.equal(instances.isSent(1, trial), true, "the one that tries goes on");
        assert.equal(instances.isSent(1), false, "a second one waits for its answer");
        assert.equal(instances.detectors[1]!.allowsHedge(trial, asked), false);
    });

    test("is sent by all again once the trial is answered", async () => {
        const instances = new Instances(3);
        await instances.crashThreeTimes();
        await instances.clock.advance(trialAfterMs);
        const trial = instances.newRequest();
        assert.equal(instances.isSent(0, trial), true);
        instances.detectors[0]!.recordSuccess(key);
        instances.detectors[0]!.recordCompleted(trial, true);
        await instances.clock.advance(1000);
        assert.deepEqual([0, 1, 2].map(index => instances.isSent(index)), [true, true, true]);
    });

    test("is not tried again when the trial has ended an upstream, or has brought nothing", async () => {
        for (const ends of [true, false]) {
            const instances = new Instances(1);
            await instances.crashThreeTimes();
            await instances.clock.advance(trialAfterMs);
            const trial = instances.newRequest();
            assert.equal(instances.isSent(0, trial), true);
            if (ends) {
                instances.end(0, trial);
            }
            instances.detectors[0]!.recordCompleted(trial, true);
            for (let minute = 0; minute < 55; minute += 1) {
                assert.equal(instances.isSent(0), false, `after ${minute} minutes`);
                await instances.clock.advance(60_000);
            }
        }
    });

    test("is tried by the next one when the first was not run", async () => {
        const instances = new Instances(1);
        await instances.crashThreeTimes();
        await instances.clock.advance(trialAfterMs);
        const trial = instances.newRequest();
        assert.equal(instances.isSent(0, trial), true);
        instances.detectors[0]!.recordCompleted(trial, false);
        assert.equal(instances.isSent(0), true);
    });

    [1, 2, 3, 4, 5].forEach(seed => {
        test(`and ends upstreams is sent at most twice more, whoever is chosen meanwhile, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            let chosen = 0;
            const instances = new Instances(13, 700, () => chosen);
            await instances.crashThreeTimes();
            await instances.clock.advance(3000);
            let sent = 0;
            for (let repeat = 0; repeat < 3000; repeat += 1) {
                const index = Math.floor(random.next() * 13);
                const request = instances.newRequest();
                if (instances.isSent(index, request)) {
                    sent += 1;
                    await instances.clock.advance(100);
                    instances.end(index, request);
                }
                // An instance left: another one is chosen, of which the last may not have heard.
                chosen = random.next() < 0.002 ? Math.floor(random.next() * 13) : chosen;
                await instances.clock.advance(700);
            }
            assert.ok(sent >= 1 && sent <= 2, `${sent} times`);
        });
    });
});
