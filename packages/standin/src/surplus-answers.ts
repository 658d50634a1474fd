/**
 * Surplus answers of a stand-in for an upstream: second copies of its answers, which arrive out of place.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { answerBytes, attemptHeader, type StandinAnswer } from "./standin-answer.js";

/** When a copy is sent: with its answer, or where the answer to a later request on the connection is expected. */
export const surplusPlacements = ["at-once", "soon", "next", "next-split", "next-halves", "retry"] as const;

/** Place of a copy among the answers on its connection. */
export type SurplusPlacement = typeof surplusPlacements[number];

/** Share of the copies that name no request, like the answer to a rejected health check. */
const anonymousShare = 0.5;

/** Share of the copies that announce the draining state. */
const drainingShare = 0.04;

/** Longest delay of a copy that follows its answer, in milliseconds. */
const soonMs = 3;

/** Time between the two pieces of a copy, in milliseconds. */
const pieceGapsMs: Partial<Record<SurplusPlacement, number>> = { "next-split": 3, "next-halves": 30 };

/** A copy that is sent when another request arrives on its connection. */
interface PlannedCopy {
    readonly bytes: Buffer;
    readonly placement: SurplusPlacement;
    /** The request of which the next attempt is awaited; `undefined` for any request. */
    readonly number: string | undefined;
}

/** Sends copies of a share of the answers. */
export class SurplusAnswers {
    /** Number of copies that were sent, by their place. */
    readonly sent: Partial<Record<SurplusPlacement, number>> = {};
    private readonly planned = new WeakMap<Socket, PlannedCopy>();

    /**
     * @param random - Decides which answers are copied, and how.
     * @param share - Returns the share of the answers that are copied.
     */
    constructor(private readonly random: RandomSource, private readonly share: () => number) {}

    /**
     * Sends a copy of an answer that was just sent, or plans it.
     *
     * @param request - The request that was answered.
     * @param answer - Its answer.
     */
    afterAnswer({ socket, headers }: IncomingMessage, answer: StandinAnswer): void {
        if (this.random.next() >= this.share()) {
            return;
        }
        const placement = surplusPlacements[Math.floor(this.random.next() * surplusPlacements.length)] ?? "next";
        const bytes = answerBytes(this.copyOf(answer));
        if (placement === "at-once") {
            this.write(socket, bytes, placement);
        }
        else if (placement === "soon") {
            setTimeout(() => this.write(socket, bytes, placement), soonMs * this.random.next());
        }
        else {
            const number = placement === "retry" ? String(headers["x-request-number"]) : undefined;
            this.planned.set(socket, { bytes, placement, number });
        }
    }

    /**
     * Sends the copy that is planned in the place of the answer to a request; the answer itself follows it.
     *
     * @param request - The request that has arrived.
     */
    async beforeAnswer({ socket, headers }: IncomingMessage): Promise<void> {
        const copy = this.planned.get(socket);
        if (copy === undefined || copy.number !== undefined && copy.number !== headers["x-request-number"]) {
            return;
        }
        this.planned.delete(socket);
        if (this.share() === 0) {
            return;
        }
        const { bytes, placement } = copy;
        const gapMs = pieceGapsMs[placement];
        const middle = gapMs === undefined ? bytes.length : Math.floor(bytes.length / 2);
        this.write(socket, bytes.subarray(0, middle), placement);
        if (gapMs !== undefined) {
            await new Promise(resolve => setTimeout(resolve, gapMs));
            writeTo(socket, bytes.subarray(middle));
        }
    }

    private write(socket: Socket, bytes: Buffer, placement: SurplusPlacement): void {
        this.sent[placement] = (this.sent[placement] ?? 0) + (writeTo(socket, bytes) ? 1 : 0);
    }

    /** Copies an answer, or makes a rejection that has its id at most. */
    private copyOf(answer: StandinAnswer): StandinAnswer {
        const isAnonymous = this.random.next() < anonymousShare;
        const isDraining = this.random.next() < drainingShare;
        if (!isAnonymous && !isDraining) {
            return answer;
        }
        const id = isAnonymous ? undefined : answer.headers[attemptHeader];
        const headers = {
            "x-request-outcome": "not-run",
            ...(id === undefined ? {} : { [attemptHeader]: id }),
            ...(isDraining ? { "x-upstream-state": "draining" } : {}),
        };
        return { status: 503, headers, body: "" };
    }
}

/** Writes to a connection unless it is closed; returns whether it did. */
const writeTo = (socket: Socket, bytes: Buffer): boolean => {
    if (socket.writable) {
        socket.write(bytes);
    }
    return socket.writable;
};
