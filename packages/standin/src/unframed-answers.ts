/**
 * Answers of a stand-in for an upstream that end with their connection, some of them not as they should.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { answerBytes, type StandinAnswer } from "./standin-answer.js";

/**
 * How such an answer ends: regularly, after half of its body, with a reset in place of its last bytes, or with a second answer behind it.
 */
export const unframedEndings = ["whole", "cut", "reset", "followed"] as const;

/** Ending of an answer without a stated end. */
export type UnframedEnding = typeof unframedEndings[number];

/** Time between the parts of such an answer, in milliseconds. */
const partGapMs = 5;

/** Sends a share of the answers in this way. */
export class UnframedAnswers {
    /** Number of answers that were sent, by their ending. */
    readonly sent: Partial<Record<UnframedEnding, number>> = {};
    /** Numbers of the requests whose answer was reset or followed by another one. */
    readonly spoilt = new Set<string>();
    private count = 0;

    /**
     * @param random - Decides which answers are sent so; their endings take turns.
     * @param share - Returns the share of these answers.
     */
    constructor(private readonly random: RandomSource, private readonly share: () => number) {}

    /** Sends an answer in this way, or returns false if it is to be sent as usual. */
    send({ headers: { "x-request-number": number } }: IncomingMessage, response: ServerResponse, answer: StandinAnswer): boolean {
        if (this.share() === 0 || answer.body === "" || this.random.next() >= this.share()) {
            return false;
        }
        const ending = unframedEndings[this.count % unframedEndings.length] ?? "whole";
        this.count += 1;
        this.sent[ending] = (this.sent[ending] ?? 0) + 1;
        if (ending === "reset" || ending === "followed") {
            this.spoilt.add(String(number));
        }
        const { status, headers, body } = answer;
        const half = Math.floor(body.length / 2);
        response.useChunkedEncodingByDefault = false;
        response.writeHead(status, { ...headers, connection: "close" }).write(body.slice(0, half));
        setTimeout(() => finish(response, answer, body.slice(half), ending), partGapMs);
        return true;
    }
}

const finish = (response: ServerResponse, answer: StandinAnswer, rest: string, ending: UnframedEnding): void => {
    switch (ending) {
        case "whole":
            response.end(rest);
            break;
        case "cut":
            response.end();
            break;
        case "reset":
            response.write(rest);
            response.socket?.resetAndDestroy();
            break;
        case "followed":
            response.write(rest);
            setTimeout(() => response.end(answerBytes(answer)), partGapMs);
            break;
    }
};
