/**
 * Callers of a soak: each keeps using its open connection until the process at its other end is gone.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import { Agent, request } from "node:http";
import type { EntryProcess } from "./entry-process.js";
import type { SeenAnswer, SoakJudge } from "./soak-checker.js";

/** Header that names the instance to which a caller sent its request; instances pass it on. */
export const entryHeader = "x-soak-entry";

/** Time between two requests of one caller, in milliseconds: short, so that faults strike requests in flight. */
const pauseMs = 15;

/** Share of the requests that must not be repeated. */
const issueShare = 0.4;

/** Options of {@link SoakCallers}. */
export interface SoakCallersOptions {
    readonly random: RandomSource;
    readonly entries: readonly EntryProcess[];
    readonly judge: SoakJudge;
    readonly callers: number;
}

/** Sends requests until it is told to end. */
export class SoakCallers {
    private sent = 0;
    private ending = false;
    private readonly tasks: readonly Promise<void>[];

    /** @param options - Whom to ask, and who judges the answers. */
    constructor(private readonly options: SoakCallersOptions) {
        this.tasks = Array.from({ length: options.callers }, (_, index) => this.call(index));
    }

    /** Lets every request in flight end, and sends no more. */
    async end(): Promise<void> {
        this.ending = true;
        await Promise.all(this.tasks);
    }

    /** Sends some reads to an instance, one after the other; gives their answers. */
    async reads(entry: EntryProcess, count: number): Promise<readonly SeenAnswer[]> {
        const agent = new Agent();
        const answers: SeenAnswer[] = [];
        while (answers.length < count) {
            answers.push(await this.ask(entry, "GET", agent));
        }
        agent.destroy();
        return answers;
    }

    private async call(index: number): Promise<void> {
        const { random, entries } = this.options;
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let number = index; !this.ending; number += 1) {
            // A caller stays with one instance, and changes when its connection breaks.
            const entry = entries[index % entries.length];
            const method = random.next() < issueShare ? "POST" : "GET";
            const answer = entry === undefined ? undefined : await this.ask(entry, method, agent);
            const waitMs = answer?.status === undefined ? pauseMs * 5 : pauseMs;
            await new Promise(resolve => setTimeout(resolve, waitMs * (0.5 + random.next())));
        }
        agent.destroy();
    }

    private async ask(entry: EntryProcess, method: "GET" | "POST", agent: Agent): Promise<SeenAnswer> {
        this.sent += 1;
        const number = `r${this.sent}`;
        const { incarnation } = entry;
        const sentAtMs = performance.now();
        const { status, outcome, isOwn } = await exchange(entry, method, number, agent);
        const answer: SeenAnswer = {
            number,
            method,
            entry: entry.options.name,
            incarnation,
            status,
            outcome,
            isOwn,
            tookMs: performance.now() - sentAtMs,
            duringPlannedStop: entry.stoppedIncarnation === incarnation,
        };
        this.options.judge.noteAnswer(answer);
        return answer;
    }
}

type Exchanged = Pick<SeenAnswer, "status" | "outcome" | "isOwn">;

const exchange = (
    { options: { name, callersPort } }: EntryProcess,
    method: "GET" | "POST",
    number: string,
    agent: Agent,
): Promise<Exchanged> =>
    new Promise(resolve => {
        const path = method === "GET" ? `/read/${number}` : "/issue";
        const headers = { "x-request-number": number, [entryHeader]: name };
        const broken = (): void => resolve({ status: undefined, outcome: undefined, isOwn: false });
        const outgoing = request({ agent, host: "127.0.0.1", port: callersPort, method, path, headers }, response => {
            const parts: Buffer[] = [];
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("error", broken);
            response.on("close", () => response.complete ? undefined : broken());
            response.on("end", () => {
                const isOwn = response.statusCode === 200 && belongsTo(Buffer.concat(parts).toString("utf8"), number);
                resolve({ status: response.statusCode, outcome: String(response.headers["x-request-outcome"] ?? ""), isOwn });
            });
        });
        outgoing.on("error", broken);
        outgoing.end(method === "POST" ? "body" : undefined);
    });

const belongsTo = (body: string, number: string): boolean => {
    try {
        return (JSON.parse(body) as { readonly key?: string; }).key === number;
    }
    catch {
        // What cannot be read is not the whole answer, which is what the judge is told.
        return false;
    }
};
