/**
 * Ends connections of callers on which something arrived that cannot be served.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { CallerResponse } from "./caller-response.js";
import { type Problem, problemBody, problemHeaders, problemKinds } from "./problem.js";

/** Time for a caller to read a problem before its connection is closed, in milliseconds. */
const lingerMs = 1000;

interface ConnectionState {
    /** Requests without a complete response, in their order. */
    readonly open: Map<IncomingMessage, CallerResponse>;
    /** Whether nothing further that arrives is served. */
    isEnding: boolean;
}

/**
 * Answers requests that cannot be read. A problem is a statement about one request: it is sent in the turn of that request, only if
 * nothing of it was passed on, and nothing of it is passed on later. Where this cannot be held, the connection is closed instead.
 */
export class ConnectionProblems {
    private readonly states = new WeakMap<Duplex, ConnectionState>();

    /** Whether what arrives on a connection is not served any more. */
    isEnding(socket: Duplex): boolean {
        return this.states.get(socket)?.isEnding === true;
    }

    /**
     * Records a request whose response is outstanding.
     *
     * @param request - The request.
     * @param response - The response.
     * @returns Records that the response is complete.
     */
    begin(request: IncomingMessage, response: CallerResponse): () => void {
        const { socket } = request;
        const state = this.stateOf(socket);
        state.open.set(request, response);
        return () => {
            state.open.delete(request);
            if (state.isEnding && state.open.size === 0) {
                destroySoon(socket);
            }
        };
    }

    /**
     * Ends a connection after the responses that are outstanding.
     *
     * @param socket - The connection.
     * @param problem - What is wrong with the request that was being read.
     */
    end(socket: Duplex, problem: Problem): void {
        const state = this.stateOf(socket);
        if (state.isEnding) {
            return;
        }
        state.isEnding = true;
        const [, incomplete] = [...state.open].find(([request]) => !request.complete) ?? [];
        if (!socket.writable) {
            socket.destroy();
        }
        else if (incomplete !== undefined) {
            endIncomplete(incomplete, problem);
        }
        else if (state.open.size === 0) {
            writeRawProblem(socket, problem);
        }
    }

    private stateOf(socket: Duplex): ConnectionState {
        const state = this.states.get(socket) ?? { open: new Map(), isEnding: false };
        this.states.set(socket, state);
        return state;
    }
}

/** Responds to a request of which only a part has arrived, unless an upstream may have received some of it. */
const endIncomplete = (response: CallerResponse, problem: Problem): void => {
    const isSent = response.received?.isTaken !== true
        && response.sendProblem(problem, undefined, { connection: "close" }) !== undefined;
    if (!isSent) {
        response.abort();
    }
};

/** Sends a problem on a connection without outstanding responses. */
const writeRawProblem = (socket: Duplex, problem: Problem): void => {
    const body = JSON.stringify(problemBody(problem, undefined));
    const { status, title } = problemKinds[problem.kind];
    const headers = { ...problemHeaders(problem, Buffer.byteLength(body)), connection: "close" };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.end(`HTTP/1.1 ${status} ${title}\r\n${lines.join("")}\r\n${body}`);
    destroyLater(socket);
};

/** Closes a connection when everything that was written has been sent. */
const destroySoon = (socket: Duplex): void => {
    socket.end();
    destroyLater(socket);
};

/** Closes a connection after a while; what arrives meanwhile is read, since a reset would discard what was sent. */
const destroyLater = (socket: Duplex): void => {
    setTimeout(() => socket.destroy(), lingerMs).unref();
};
