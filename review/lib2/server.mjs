/**
 * Stand-in for a server behind the system. It is sound unless a test gives it a behaviour.
 */

import { createHash, randomBytes } from "node:crypto";
import { createServer } from "node:http";

export const bodyOf = (serverId, attemptId, size) => {
    const line = `${serverId} ${attemptId}\n`;
    return Buffer.from(line.repeat(Math.ceil(size / line.length)).slice(0, size));
};

const sealOf = (id, attemptId) => createHash("sha256").update(`${id} ${attemptId}`).digest("hex").slice(0, 16);

export class Server {
    running = 0;
    queue = [];
    sockets = new Set();
    isLeaving = false;

    /**
     * @param options.runs - Receives each run: { server, service, attempt, method, path, body, atMs }.
     * @param options.workMs - Returns the duration of a request's work.
     * @param options.size - Returns the size of its response.
     * @param options.behave - Optional; handles a request in place of the usual work: (server, request, response) => boolean.
     */
    constructor(
        { store, service, zone, host, port = 0, slots = 3, queueLength = 12, runs, workMs, size, behave, coldLeft = "0ms" },
    ) {
        Object.assign(this, { store, service, zone, host, port, slots, queueLength, runs, workMs, size, behave, coldLeft });
        this.id = `i-${randomBytes(5).toString("hex")}`;
        this.http = createServer({ keepAliveTimeout: 10_000, requestTimeout: 0, headersTimeout: 0 }, (request, response) => {
            void this.#serve(request, response);
        });
        this.http.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    async start() {
        await new Promise((resolve, reject) => {
            this.http.once("error", reject);
            this.http.listen(this.port, this.host, 1024, resolve);
        });
        this.port = this.http.address().port;
        await this.register("ready");
        return this;
    }

    /** Writes its entry; resolves when the store has acknowledged it. */
    register(state) {
        void this.store.put(
            `servers/${this.id}`,
            JSON.stringify({
                Service: this.service,
                Address: `${this.host}:${this.port}`,
                Zone: this.zone,
                Version: "v1",
                Slots: this.slots,
                State: state,
                ColdLeft: this.coldLeft,
                SeqNo: 1,
            }),
        );
    }

    /** Says that it leaves, and serves on; resolves when the store has acknowledged that. */
    drain() {
        this.isLeaving = true;
        return this.register("draining");
    }

    /** Ends after it has drained. */
    async leave() {
        await this.store.remove(`servers/${this.id}`);
        this.close();
    }

    /** Ends as by a crash: connections are reset, and the entry stays for the given time. */
    crash(entryMs = 4500) {
        this.isEnded = true;
        this.http.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => void this.store.remove(`servers/${this.id}`), entryMs).unref();
    }

    close() {
        this.isEnded = true;
        this.http.close();
        this.http.closeAllConnections();
    }

    get load() {
        return `${this.running},${this.queue.length},${this.slots},100`;
    }

    #head(extra) {
        return { "server-load": this.load, ...this.isLeaving ? { connection: "close" } : {}, ...extra };
    }

    async #serve(request, response) {
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        if (request.url === "/healthz") {
            response.writeHead(this.isLeaving ? 503 : 200, this.#head({ "instance-id": this.id, "content-length": 0 }));
            response.end();
            return;
        }
        const attempt = request.headers["attempt-id"];
        const target = request.headers["target-instance"];
        const echo = attempt === undefined ? {} : { "attempt-id": attempt };
        if (target !== undefined && target !== this.id) {
            request.resume();
            response.writeHead(421, this.#head({ ...echo, "instance-id": this.id, "content-length": 0 }));
            response.end();
            return;
        }
        if (attempt === undefined) {
            request.resume();
            response.writeHead(400, this.#head({ "not-executed": "1", "content-length": 0 }));
            response.end();
            return;
        }
        if (this.behave?.(this, request, response) === true) {
            return;
        }
        const body = await readAll(request);
        if (body === undefined) {
            return;
        }
        await this.work(request, response, body);
    }

    shed(request, response) {
        const head = this.#head({ "attempt-id": request.headers["attempt-id"], "not-executed": "1", "content-length": 0 });
        response.writeHead(503, head);
        response.end();
    }

    /** Waits for a slot and runs a request; sends the response unless `respond` is false. */
    async work(request, response, body, { respond = true } = {}) {
        if (this.running >= this.slots) {
            if (this.queue.length >= this.queueLength) {
                this.shed(request, response);
                return;
            }
            await new Promise(resolve => this.queue.push(resolve));
            if (response.destroyed) {
                this.queue.shift()?.();
                return;
            }
        }
        this.running += 1;
        const attempt = request.headers["attempt-id"];
        const { method, url: path } = request;
        const hash = createHash("sha256").update(body).digest("hex");
        this.runs.push({ server: this.id, service: this.service, attempt, method, path, body: hash, atMs: performance.now() });
        await new Promise(resolve => setTimeout(resolve, this.workMs(request)));
        this.running -= 1;
        this.queue.shift()?.();
        if (respond && !response.destroyed) {
            this.answer(request, response);
        }
    }

    answer(request, response, { framing = "length" } = {}) {
        const attempt = request.headers["attempt-id"];
        const content = bodyOf(this.id, attempt, this.size(request));
        const seal = { "attempt-id": attempt, "response-seal": sealOf(this.id, attempt) };
        if (framing === "length") {
            response.writeHead(200, this.#head({ ...seal, "content-length": content.length }));
        }
        else {
            response.writeHead(200, this.#head(seal));
        }
        response.end(content);
    }
}

/** Returns the whole body; `undefined` if the sender broke off. */
export const readAll = request =>
    new Promise(resolve => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("close", () => resolve(undefined));
    });
