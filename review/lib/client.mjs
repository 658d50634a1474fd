/** Stand-in for a client with a kept connection (PROTOCOL.md). */

import { Agent, request as openRequest } from "node:http";

let lastAttempt = 0;

/** Returns an id that no other attempt has. */
export const newAttemptId = () => `a${String(++lastAttempt).padStart(5, "0")}`;

export class Client {
    #agent = new Agent({ keepAlive: true, maxSockets: 1 });

    /**
     * @param front - The address that the client connects to.
     * @param record - What is sent and answered is added to it.
     */
    constructor(front, record) {
        this.front = front;
        this.record = record;
    }

    close() {
        this.#agent.destroy();
    }

    /** Sends one attempt on the kept connection, or on a new one; resolves to what the client sees. */
    send({ method = "GET", host, path, deadlineMs, body, chunked = false, attempt = newAttemptId(), headers: more = {} }) {
        const [address, port] = this.front.split(":");
        const headers = {
            "Host": host,
            "Attempt-Id": attempt,
            ...(deadlineMs !== undefined && { "Deadline-Ms": String(deadlineMs) }),
            ...(body !== undefined
                && (chunked ? { "Transfer-Encoding": "chunked" } : { "Content-Length": Buffer.byteLength(body) })),
            ...more,
        };
        this.record.add(`client sends ${attempt}: ${method} ${path}`);
        return new Promise(resolve => {
            const result = { attempt, sentMs: performance.now(), status: undefined, headers: {}, body: "", ended: "closed" };
            const finish = ended => {
                Object.assign(result, { ended, endMs: performance.now() });
                const closing = result.headers.connection === "close" ? ", Connection: close" : "";
                const seal = result.headers["response-seal"];
                this.record.add(
                    `client gets ${attempt}: ${result.status ?? "no answer"} ${ended}${
                        seal === undefined ? "" : `, seal ${seal}`
                    }${closing}`,
                );
                resolve(result);
            };
            const outgoing = openRequest({ agent: this.#agent, host: address, port, method, path, headers }, response => {
                Object.assign(result, { status: response.statusCode, headers: response.headers });
                response.on("data", chunk => result.body += chunk.toString("latin1"));
                response.once("end", () => finish("complete"));
                response.once("error", error => finish(`cut short (${error.code ?? error.message})`));
            });
            outgoing.once("error", error => finish(`connection closed (${error.code ?? error.message})`));
            outgoing.end(body);
        });
    }
}
