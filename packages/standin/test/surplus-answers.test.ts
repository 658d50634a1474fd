/**
 * Guards against surplus answers that are missing, or that a stand-in for an upstream sends where none is meant.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { describe, test } from "node:test";
import { UpstreamStandin } from "../src/index.js";
import { answerBytes, type StandinAnswer } from "../src/standin-answer.js";
import { SurplusAnswers, type SurplusPlacement, surplusPlacements } from "../src/surplus-answers.js";

const answer: StandinAnswer = { status: 200, headers: { "x-attempt-id": "a1" }, body: "body" };
const text = answerBytes(answer).toString();
const middle = Math.floor(text.length / 2);
const [firstPiece, secondPiece] = [text.slice(0, middle), text.slice(middle)];

/** A connection whose surplus answers are decided by the given numbers; without numbers, the first of all choices is taken. */
const startSurplus = (decisions: readonly number[], share = (): number => 1) => {
    const numbers = [...decisions];
    const written: string[] = [];
    const socket = { writable: true, write: (bytes: Buffer) => written.push(bytes.toString()) };
    const request = (number: string) => ({ socket, headers: { "x-request-number": number } }) as unknown as IncomingMessage;
    const surplus = new SurplusAnswers({ next: () => numbers.shift() ?? 0 }, share);
    return {
        written,
        socket,
        sent: surplus.sent,
        afterAnswer: (number: string): void => surplus.afterAnswer(request(number), answer),
        beforeAnswer: (number: string): Promise<void> => surplus.beforeAnswer(request(number)),
    };
};

/** Numbers that decide for a copy with the given placement; `isAnonymous` and `isDraining` of the copy are decided by the rest. */
const decide = (placement: SurplusPlacement, anonymous = 0.99, draining = 0.99): readonly number[] => [
    0,
    (surplusPlacements.indexOf(placement) + 0.5) / surplusPlacements.length,
    anonymous,
    draining,
];

describe("a surplus answer", () => {
    test("follows its answer at once", () => {
        const { written, afterAnswer } = startSurplus(decide("at-once"));
        afterAnswer("r1");
        assert.deepEqual(written, [text]);
    });

    test("follows its answer soon", ({ mock }) => {
        mock.timers.enable({ apis: ["setTimeout"] });
        const { written, afterAnswer } = startSurplus([...decide("soon"), 0.9]);
        afterAnswer("r1");
        mock.timers.tick(2);
        assert.deepEqual(written, []);
        mock.timers.tick(1);
        assert.deepEqual(written, [text]);
    });

    test("takes the place of the next answer, once", async () => {
        const { written, afterAnswer, beforeAnswer } = startSurplus(decide("next"));
        afterAnswer("r1");
        assert.deepEqual(written, []);
        await beforeAnswer("r2");
        await beforeAnswer("r3");
        assert.deepEqual(written, [text]);
    });

    [{ placement: "next-split", gapMs: 3 } as const, { placement: "next-halves", gapMs: 30 } as const].forEach(
        ({ placement, gapMs }) => {
            test(`arrives in two pieces ${gapMs} ms apart, before the next answer`, async ({ mock }) => {
                mock.timers.enable({ apis: ["setTimeout"] });
                const { written, sent, afterAnswer, beforeAnswer } = startSurplus(decide(placement));
                afterAnswer("r1");
                const held = beforeAnswer("r2").then(() => written.push("next answer"));
                mock.timers.tick(gapMs - 1);
                await Promise.resolve();
                assert.deepEqual(written, [firstPiece]);
                mock.timers.tick(1);
                await held;
                assert.deepEqual(written, [firstPiece, secondPiece, "next answer"]);
                assert.deepEqual(sent, { [placement]: 1 });
            });
        },
    );

    test("waits for another attempt of its request", async () => {
        const { written, afterAnswer, beforeAnswer } = startSurplus(decide("retry"));
        afterAnswer("r1");
        await beforeAnswer("r2");
        assert.deepEqual(written, []);
        await beforeAnswer("r1");
        assert.deepEqual(written, [text]);
    });

    test("is not sent any more when the fault has ended, or on a connection that has closed", async () => {
        let share = 1;
        const { written, sent, socket, afterAnswer, beforeAnswer } = startSurplus(
            [...decide("next"), ...decide("at-once")],
            () => share,
        );
        afterAnswer("r1");
        share = 0;
        await beforeAnswer("r2");
        share = 1;
        await beforeAnswer("r3");
        socket.writable = false;
        afterAnswer("r3");
        assert.deepEqual(written, []);
        assert.deepEqual(sent, { "at-once": 0 });
    });

    test("is sent for a share of the answers", () => {
        const { written, afterAnswer } = startSurplus([0.5, ...decide("at-once").with(0, 0.4)], () => 0.5);
        afterAnswer("r1");
        assert.deepEqual(written, []);
        afterAnswer("r2");
        assert.deepEqual(written, [text]);
    });
});

describe("a surplus answer that is no exact copy", () => {
    const rejection = { "x-request-outcome": "not-run" };
    const draining = { "x-upstream-state": "draining" };
    const id = { "x-attempt-id": "a1" };
    [
        { name: "rejects without an id", anonymous: 0, draining: 0.99, headers: rejection },
        {
            name: "rejects and announces the draining state",
            anonymous: 0.99,
            draining: 0,
            headers: { ...rejection, ...id, ...draining },
        },
        { name: "does so without an id", anonymous: 0, draining: 0, headers: { ...rejection, ...draining } },
    ].forEach(({ name, anonymous, draining: drainingNumber, headers }) => {
        test(name, () => {
            const { written, afterAnswer } = startSurplus(decide("at-once", anonymous, drainingNumber));
            afterAnswer("r1");
            assert.deepEqual(written, [answerBytes({ status: 503, headers, body: "" }).toString()]);
        });
    });
});

/** Sends requests to a full stand-in on one connection, each after the answer to the previous one, and counts the answers. */
const countAnswers = async (surplusShare: number, requests: number): Promise<number> => {
    const upstream = new UpstreamStandin("u1", { slots: 0, queue: 0, surplusShare });
    const socket = connect(await upstream.listen(), "127.0.0.1");
    let received = "";
    socket.on("data", data => {
        received += data.toString();
    });
    for (let number = 1; number <= requests; number += 1) {
        const { arrived } = upstream;
        socket.write(`GET /read/x HTTP/1.1\r\nhost: x\r\nx-attempt-id: a${number}.\r\n\r\n`);
        while (upstream.arrived === arrived || !received.includes(`x-attempt-id: a${number}.`)) {
            await once(socket, "data");
        }
    }
    socket.destroy();
    await upstream.close();
    return received.split("HTTP/1.1 503").length - 1;
};

test("a full stand-in sends surplus answers if it is told to, and none otherwise", async () => {
    assert.equal(await countAnswers(0, 20), 20);
    assert.ok(await countAnswers(1, 20) > 25);
});
