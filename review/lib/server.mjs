/**
 * Stand-in for a server of a service (PROTOCOL.md). It serves one request at a time on a connection, has slots and a queue, and
 * rejects requests for another instance with 421. A test may replace how it answers a request.
 */

import { createServer } from "node:net";
import { RequestReader } from "./request-reader.mjs";

const reasons = { 200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable" };

/** Returns the bytes of an answer. */
export const answerBytes = (status, headers, body = "") => {
    const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) }).map(([name, value]) =>
        `${name}: ${value}`
    );
    return `HTTP/1.1 ${status} ${reasons[status] ?? "Status"}\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
};

export class Server {
    running = 0;
    waiting = [];
    connections = 0;
    /** Requests that the server has begun to work on. */
    runs = [];
    #sockets = new Set();
    #server = createServer(socket => this.#accept(socket));

    /**
     * @param options - `id`, `slots`, `queue`, `record`, `workMs` (of a request), and `answer` (called when the work is done, or
     * `undefined` for a sound answer).
     */
    constructor(options) {
        this.options = { slots: 3, queue: 12, workMs: () => 20, body: () => "whole", ...options };
    }

    get id() {
        return this.options.id;
    }

    /** The load header: running, waiting, slots, and how long work takes in percent of the usual time. */
    get load() {
        return `${this.running},${this.waiting.length},${this.options.slots},100`;
    }

    async listen(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
        return this.address;
    }

    close() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    /** The headers of each answer to a request. */
    headersFor({ headers }) {
        return { "Attempt-Id": headers["attempt-id"] ?? "", "Server-Load": this.load };
    }

    /** The bytes of a sound answer to a request that has run. */
    sound(request) {
        return answerBytes(
            200,
            { ...this.headersFor(request), "Response-Seal": `s.${request.headers["attempt-id"]}` },
            this.options.body(request),
        );
    }

    /** The bytes by which the server says that it hasn't run a request. */
    shed(request) {
        return answerBytes(503, { ...this.headersFor(request), "Not-Executed": "1" });
    }

    #accept(socket) {
        this.#sockets.add(socket);
        const connection = { socket, number: ++this.connections, id: `${this.id}#${this.connections}` };
        socket.setNoDelay(true);
        socket.on("close", () => this.#sockets.delete(socket)).on("error", () => socket.destroy());
        const reader = new RequestReader(request => this.#handle(connection, request));
        socket.on("data", chunk => {
            if (!reader.push(chunk)) {
                this.options.record.add(
                    `${connection.id} received bytes that are no request: ${
                        JSON.stringify(reader.rest.toString("latin1", 0, 80))
                    }`,
                );
                socket.end(answerBytes(400, { "Not-Executed": "1", "Connection": "close" }));
            }
        });
    }

    #handle(connection, request) {
        if (request.path === "/healthz") {
            connection.socket.write(answerBytes(200, { "Instance-Id": this.id, "Server-Load": this.load }));
            return;
        }
        const attempt = request.headers["attempt-id"];
        const target = request.headers["target-instance"];
        if (target !== undefined && target !== this.id) {
            this.options.record.add(`${connection.id} misdirected ${attempt}`);
            connection.socket.write(answerBytes(421, { "Instance-Id": this.id }));
            return;
        }
        if (attempt === undefined) {
            connection.socket.write(answerBytes(400, { "Not-Executed": "1" }));
            return;
        }
        if (this.options.intercept?.(this, connection, request) === true) {
            return;
        }
        if (this.running >= this.options.slots && this.waiting.length >= this.options.queue) {
            this.options.record.add(`${connection.id} rejects ${attempt}: it is full`);
            this.#answer(connection, this.shed(request), true);
            return;
        }
        this.waiting.push({ connection, request });
        this.#next();
    }

    #answer(connection, bytes, isRejection) {
        connection.socket.write(bytes);
        this.options.onAnswer?.(this, connection, bytes, isRejection);
    }

    #next() {
        if (this.running >= this.options.slots || this.waiting.length === 0) {
            return;
        }
        const { connection, request } = this.waiting.shift();
        const { socket } = connection;
        if (socket.destroyed) {
            this.#next();
            return;
        }
        this.running += 1;
        const run = {
            attempt: request.headers["attempt-id"],
            request,
            server: this.id,
            startMs: performance.now(),
            answered: false,
        };
        this.runs.push(run);
        this.options.record.add(
            `${connection.id} runs ${run.attempt} (${request.method} ${request.path}, body ${request.body.length} bytes)`,
        );
        const workMs = this.options.workMs(request);
        const timer = setTimeout(() => {
            finish();
            run.answered = true;
            this.options.record.add(`${connection.id} answers ${run.attempt}`);
            if (this.options.answer === undefined) {
                this.#answer(connection, this.sound(request), false);
            }
            else {
                this.options.answer(this, connection, request);
            }
        }, workMs);
        const onClose = () => {
            clearTimeout(timer);
            finish();
            this.options.record.add(`${connection.id} closed by the system while working on ${run.attempt}`);
        };
        const finish = () => {
            socket.off("close", onClose);
            this.running -= 1;
            this.#next();
        };
        socket.once("close", onClose);
    }
}
