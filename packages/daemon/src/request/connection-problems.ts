/**
 * Ends connections of callers on which something arrived that cannot be served.
 *
 * @packageDocumentation
 */

import type { Duplex } from "node:stream";
import type { CallerResponse } from "./caller-response.js";
import { closeLater, type ConnectionEnds } from "./connection-ends.js";
import { type Problem, problemBody, problemHeaders, problemKinds } from "./problem.js";

/**
 * Answers requests that cannot be read. A problem is a statement about one request: it is sent in the turn of that request, only if
 * nothing of it was passed on, and nothing of it is passed on later. Where this cannot be held, the connection is closed instead.
 */
export class ConnectionProblems {
    /** Connections on which something could not be read. */
    private readonly failed = new WeakSet<Duplex>();

    /**
     * @param ends - Ends the connections.
     * @param onProblem - Called for each problem that a caller is told.
     */
    constructor(private readonly ends: ConnectionEnds, private readonly onProblem: (problem: Problem) => void) {}

    /**
     * Ends a connection after the responses that are outstanding.
     *
     * @param socket - The connection.
     * @param problem - What is wrong with the request that was being read.
     */
    end(socket: Duplex, problem: Problem): void {
        const outstanding = this.ends.outstanding(socket);
        const isClosing = this.ends.stageOf(socket) !== "serving" && outstanding.length === 0;
        if (isClosing || this.failed.has(socket)) {
            return;
        }
        const [, incomplete] = outstanding.find(([request]) => !request.complete) ?? [];
        this.failed.add(socket);
        this.ends.end(socket);
        if (!socket.writable) {
            socket.destroy();
        }
        else if (incomplete !== undefined && endIncomplete(incomplete, problem)) {
            this.onProblem(problem);
        }
        else if (outstanding.length === 0) {
            writeRawProblem(socket, problem);
            this.onProblem(problem);
        }
    }
}

/**
 * Responds to a request of which only a part has arrived, unless an upstream may have received some of it.
 *
 * @returns Whether the caller is told the problem.
 */
const endIncomplete = (response: CallerResponse, problem: Problem): boolean => {
    const isSent = response.received?.isTaken !== true
        && response.sendProblem(problem, undefined, { connection: "close" }) !== undefined;
    if (!isSent) {
        response.abort();
    }
    return isSent;
};

/** Sends a problem on a connection without outstanding responses. */
const writeRawProblem = (socket: Duplex, problem: Problem): void => {
    const body = JSON.stringify(problemBody(problem, undefined));
    const { status, title } = problemKinds[problem.kind];
    const headers = { ...problemHeaders(problem, Buffer.byteLength(body)), connection: "close" };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(`HTTP/1.1 ${status} ${title}\r\n${lines.join("")}\r\n${body}`);
    closeLater(socket);
};
