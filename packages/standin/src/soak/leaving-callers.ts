/**
 * Callers of a soak that leave at random moments, in every way, with single and pipelined requests and long bodies.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import { connect, type Socket } from "node:net";
import type { EntryProcess } from "./entry-process.js";
import type { LeaveChecker } from "./leave-checker.js";
import { entryHeader } from "./soak-callers.js";

/** Mean time between two callers that leave, in milliseconds. */
const callerIntervalMs = 25;

/** Longest time until a caller leaves, in milliseconds. */
const maximumStayMs = 1500;

/** Most requests that a caller sends on its connection. */
const maximumPipelined = 4;

/** Size of a body that is larger than what an instance buffers for repeats, in bytes. */
const longBodyBytes = 200_000;

/** Share of the connections whose last bytes are not sent. */
const cutShare = 0.15;

/** Options of {@link LeavingCallers}. */
export interface LeavingCallersOptions {
    readonly random: RandomSource;
    readonly entries: readonly EntryProcess[];
    readonly checker: LeaveChecker;
}

/** Opens connections until it is stopped. */
export class LeavingCallers {
    private sent = 0;
    private readonly timer: NodeJS.Timeout;

    /** @param options - The instances to call, and the checker. */
    constructor(private readonly options: LeavingCallersOptions) {
        this.timer = setInterval(() => this.call(), callerIntervalMs);
    }

    /** Opens no more connections. */
    stop(): void {
        clearInterval(this.timer);
    }

    private call(): void {
        const { random, entries, checker } = this.options;
        const entry = entries[Math.floor(random.next() * entries.length)];
        if (entry === undefined || entry.state === "down") {
            return;
        }
        const numbers = Array.from({ length: 1 + Math.floor(random.next() * maximumPipelined) }, () => this.nextNumber());
        const text = numbers.map(number => this.request(number, entry)).join("");
        const length = random.next() < cutShare ? text.length - 1 : text.length;
        const socket = connect({ host: "127.0.0.1", port: entry.options.callersPort, allowHalfOpen: true });
        socket.on("error", () => undefined).on("data", () => undefined).on("end", () => socket.destroy());
        socket.write(text.slice(0, length));
        const leaveBy = random.next();
        setTimeout(() => {
            if (!socket.destroyed && !socket.connecting) {
                checker.recordDeparture(numbers, entry);
                leave(socket, leaveBy);
            }
            else {
                socket.destroy();
            }
        }, random.next() ** 2 * maximumStayMs);
    }

    private nextNumber(): string {
        this.sent += 1;
        return `left-${this.sent}`;
    }

    private request(number: string, { options: { name } }: EntryProcess): string {
        const head = `host: x\r\nx-request-number: ${number}\r\n${entryHeader}: ${name}\r\n`;
        const choice = Math.floor(this.options.random.next() * 5);
        const body = "b".repeat(longBodyBytes);
        switch (choice) {
            case 0:
                return `POST /issue HTTP/1.1\r\n${head}content-length: 4\r\n\r\nbody`;
            case 1:
                return `POST /issue HTTP/1.1\r\n${head}content-length: ${body.length}\r\n\r\n${body}`;
            case 2:
                return `POST /issue HTTP/1.1\r\n${head}transfer-encoding: chunked\r\n\r\n`
                    + `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
            default:
                return `GET /read/${number} HTTP/1.1\r\n${head}\r\n`;
        }
    }
}

/** Leaves by shutting down the sending side, by closing or by a reset. */
const leave = (socket: Socket, choice: number): void => {
    if (choice < 1 / 3) {
        socket.end();
    }
    else if (choice < 2 / 3) {
        socket.destroy();
    }
    else {
        socket.resetAndDestroy();
    }
};
