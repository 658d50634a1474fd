/**
 * A client that writes requests itself and reads answers strictly, in their order, on one connection.
 */

import { connect } from "node:net";

const parseHead = text => {
    const [line, ...lines] = text.split("\r\n");
    const match = /^HTTP\/1\.1 (\d{3})(?: |$)/.exec(line);
    const headers = Object.fromEntries(lines.map(entry => {
        const colon = entry.indexOf(":");
        return [entry.slice(0, colon).toLowerCase(), entry.slice(colon + 1).trim()];
    }));
    return match === null ? undefined : { status: Number(match[1]), headers };
};

export class ClientConnection {
    buffer = Buffer.alloc(0);
    /** Requests without a whole answer, in their order. */
    waiting = [];
    surplus = 0;
    isOpen = true;

    constructor(host, port, { readDelayMs = 0, readBytes = Infinity } = {}) {
        this.socket = connect({ host, port });
        this.socket.setNoDelay(true);
        this.socket.on("error", error => {
            this.error = error.code;
        });
        this.socket.on("data", chunk => {
            this.buffer = Buffer.concat([this.buffer, chunk]);
            this.#parse();
            if (readDelayMs > 0) {
                this.socket.pause();
                setTimeout(() => this.socket.resume(), readDelayMs * Math.max(1, chunk.length / readBytes));
            }
        });
        this.socket.on("end", () => {
            this.hasEnded = true;
            this.#parse();
            this.socket.end();
        });
        this.socket.on("close", () => this.#close());
    }

    /** Sends a request; resolves to { status, headers, body, isWhole } or { error } when the connection ends before. */
    send({ method, path, host, attemptId, deadlineMs, body, headers = {}, chunked = false }) {
        const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Attempt-Id: ${attemptId}`, `Deadline-Ms: ${deadlineMs}`];
        Object.entries(headers).forEach(([name, value]) => lines.push(`${name}: ${value}`));
        if (body !== undefined && !chunked) {
            lines.push(`Content-Length: ${body.length}`);
        }
        else if (body !== undefined) {
            lines.push("Transfer-Encoding: chunked");
        }
        const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`);
        return new Promise(resolve => {
            this.waiting.push({ method, attemptId, sentAtMs: performance.now(), resolve });
            if (!this.isOpen) {
                this.#close();
                return;
            }
            this.socket.write(head);
            if (body !== undefined) {
                this.socket.write(
                    chunked
                        ? Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from("\r\n0\r\n\r\n")])
                        : body,
                );
            }
        });
    }

    close() {
        this.socket.destroy();
    }

    #parse() {
        for (let progress = true; progress;) {
            progress = this.#parseOne();
        }
    }

    #parseOne() {
        const end = this.buffer.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        const head = parseHead(this.buffer.subarray(0, end).toString("latin1"));
        const [request] = this.waiting;
        if (head === undefined || request === undefined) {
            this.surplus += 1;
            this.surplusText = this.buffer.subarray(0, 200).toString("latin1");
            this.socket.destroy();
            this.buffer = Buffer.alloc(0);
            return false;
        }
        if (head.status === 100) {
            this.buffer = this.buffer.subarray(end + 4);
            return true;
        }
        const body = this.#bodyOf(head, end + 4);
        if (body === undefined) {
            return false;
        }
        this.waiting.shift();
        request.resolve({
            ...head,
            body: body.content,
            isWhole: true,
            tookMs: performance.now() - request.sentAtMs,
            closes: head.headers.connection === "close",
        });
        this.buffer = this.buffer.subarray(body.end);
        if (head.headers.connection === "close") {
            this.isClosing = true;
        }
        return true;
    }

    #bodyOf({ status, headers }, start) {
        if (status === 204 || status === 304) {
            return { content: Buffer.alloc(0), end: start };
        }
        if (headers["content-length"] !== undefined) {
            const end = start + Number(headers["content-length"]);
            return this.buffer.length < end ? undefined : { content: this.buffer.subarray(start, end), end };
        }
        if (headers["transfer-encoding"] === undefined) {
            return this.hasEnded ? { content: this.buffer.subarray(start), end: this.buffer.length } : undefined;
        }
        const parts = [];
        for (let at = start;;) {
            const lineEnd = this.buffer.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return undefined;
            }
            const size = Number.parseInt(this.buffer.subarray(at, lineEnd).toString("latin1"), 16);
            const next = lineEnd + 2 + size + 2;
            if (this.buffer.length < next) {
                return undefined;
            }
            if (size === 0) {
                return { content: Buffer.concat(parts), end: next };
            }
            parts.push(this.buffer.subarray(lineEnd + 2, lineEnd + 2 + size));
            at = next;
        }
    }

    #close() {
        this.isOpen = false;
        this.waiting.splice(0).forEach(({ resolve, sentAtMs }) => {
            resolve({ error: this.error ?? "closed", tookMs: performance.now() - sentAtMs });
        });
    }
}
