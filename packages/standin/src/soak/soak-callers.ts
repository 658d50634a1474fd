/**
 * Callers of a soak: each sends its requests one after the other over a persistent connection.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import { ConnectionEnd } from "@harrierhitch/daemon";
import { Agent, type ClientRequest, request } from "node:http";
import type { EntryProcess } from "./entry-process.js";
import type { ObservedResponse, SoakMethod } from "./observed-response.js";
import { isBeginning, isWhole, statesEnd } from "./response-check.js";
import { quotedNumberOf, type SoakChecker } from "./soak-checker.js";

/** Header that names the instance to which a caller sent its request; instances forward it to the upstream. */
export const entryHeader = "x-soak-entry";

/** Mean time between two requests of one caller, in milliseconds; short, so that faults affect requests in flight. */
const requestIntervalMs = 15;

/** Share of the requests that are not repeatable. */
const nonRepeatableShare = 0.4;

const nonRepeatableMethods: readonly SoakMethod[] = ["POST", "DELETE", "OPTIONS"];

/** Options of {@link SoakCallers}. */
export interface SoakCallersOptions {
    readonly random: RandomSource;
    readonly entries: readonly EntryProcess[];
    readonly checker: SoakChecker;
    readonly callers: number;
}

/** Sends requests until it is stopped. */
export class SoakCallers {
    private sent = 0;
    private isStopping = false;
    private readonly tasks: readonly Promise<void>[];

    /** @param options - The instances to call, and the checker of the responses. */
    constructor(private readonly options: SoakCallersOptions) {
        this.tasks = Array.from({ length: options.callers }, (_, index) => this.runCaller(index));
    }

    /** Sends no more requests and waits for those in flight. */
    async stop(): Promise<void> {
        this.isStopping = true;
        await Promise.all(this.tasks);
    }

    /** Sends repeatable requests to an instance, one after the other, and returns their responses. */
    async sendReads(entry: EntryProcess, count: number): Promise<readonly ObservedResponse[]> {
        const agent = new Agent();
        const responses: ObservedResponse[] = [];
        while (responses.length < count) {
            responses.push(await this.sendRequest(entry, "GET", agent));
        }
        agent.destroy();
        return responses;
    }

    private async runCaller(index: number): Promise<void> {
        const { random, entries } = this.options;
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.isStopping) {
            // Each caller sends to one instance.
            const entry = entries[index % entries.length];
            const method = random.next() < nonRepeatableShare
                ? nonRepeatableMethods[this.sent % nonRepeatableMethods.length]
                : "GET";
            const response = entry === undefined ? undefined : await this.sendRequest(entry, method ?? "POST", agent);
            const waitMs = response?.status === undefined ? requestIntervalMs * 5 : requestIntervalMs;
            await new Promise(resolve => setTimeout(resolve, waitMs * (0.5 + random.next())));
        }
        agent.destroy();
    }

    private async sendRequest(entry: EntryProcess, method: SoakMethod, agent: Agent): Promise<ObservedResponse> {
        this.sent += 1;
        const number = `r${this.sent}`;
        const { incarnation } = entry;
        const sentAtMs = performance.now();
        const { status, outcome, isCorrect } = await sendAndReceive(entry, method, number, agent);
        const response: ObservedResponse = {
            number,
            method,
            entry: entry.options.name,
            incarnation,
            status,
            outcome,
            isCorrect,
            durationMs: performance.now() - sentAtMs,
            duringPlannedStop: entry.stoppedIncarnation === incarnation,
        };
        this.options.checker.recordResponse(response);
        this.options.checker.pathChecker.recordResponse(response, sentAtMs);
        return response;
    }
}

type ResponseSummary = Pick<ObservedResponse, "status" | "outcome" | "isCorrect">;

const sendAndReceive = (
    { options: { name, callersPort } }: EntryProcess,
    method: SoakMethod,
    number: string,
    agent: Agent,
): Promise<ResponseSummary> =>
    new Promise(resolve => {
        const path = method === "GET" ? `/read/${number}` : "/issue";
        const body = method === "GET" ? "" : quotingBody(number);
        const isChunked = body !== "" && Number(number.slice(1)) % 2 === 0;
        const framing = isChunked ? { "transfer-encoding": "chunked" } : { "content-length": body.length };
        const headers = { "x-request-number": number, [entryHeader]: name, ...framing };
        const resolveLost = (): void => resolve({ status: undefined, outcome: undefined, isCorrect: false });
        const outgoing = request({ agent, host: "127.0.0.1", port: callersPort, method, path, headers }, response => {
            const chunks: Buffer[] = [];
            const end = statesEnd(response) ? undefined : new ConnectionEnd(response.socket);
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", resolveLost);
            response.on("close", () => response.complete ? undefined : resolveLost());
            response.on("end", () => {
                if (end?.wasReset === true) {
                    resolveLost();
                    return;
                }
                const text = Buffer.concat(chunks).toString("utf8");
                const checked = { number, path, body };
                // What an upstream has cut off is passed on without a stated end.
                const isCut = !statesEnd(response) && isBeginning(text, checked);
                const isCorrect = response.statusCode === 200 && (isWhole(text, checked) || isCut);
                resolve({ status: response.statusCode, outcome: String(response.headers["x-request-outcome"] ?? ""), isCorrect });
            });
        });
        outgoing.on("error", resolveLost);
        sendBody(outgoing, body, isChunked);
    });

/** A body that quotes a request, which an upstream runs if it reads the body as the next request on the connection. */
const quotingBody = (number: string): string =>
    `POST /issue HTTP/1.1\r\nhost: u\r\nx-request-number: ${quotedNumberOf(number)}\r\ncontent-length: 0\r\n\r\n`;

/** Sends a body with a length, or in two chunks, which instances stream. */
const sendBody = (outgoing: ClientRequest, body: string, isChunked: boolean): void => {
    const half = isChunked ? body.length / 2 : 0;
    if (isChunked) {
        outgoing.write(body.slice(0, half));
    }
    outgoing.end(body.slice(half));
};
