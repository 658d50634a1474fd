/**
 * An upstream that reads requests strictly and records them, and the system in front of it.
 */

import { ConnectionEnd } from "@harrierhitch/daemon";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type ReadRequest, readStream, valuesOf } from "./strict-reader.js";
import { startSystem, type System, waitUntil } from "./system.js";

/** Answers a request that was read. */
export type Answer = (request: ReadRequest, socket: Socket) => void;

/** Header with which an answer says which attempt it answers. */
export const echo = ({ headers }: ReadRequest): string => `x-attempt-id: ${valuesOf(headers, "x-attempt-id")[0]}\r\n`;

const answerOk: Answer = (request, socket) =>
    socket.write(
        `HTTP/1.1 200 OK\r\n${echo(request)}content-length: ${request.method === "HEAD" ? 0 : 2}\r\n\r\n${
            request.method === "HEAD" ? "" : "ok"
        }`,
    );

/** Routes for all methods: requests below `/safe/` may be repeated, those below `/once/` may not. */
const routes = ["safe", "once"].map(name => `
[route.any-${name}]
method = ANY
path = /${name}/
service = main
kind = ${name === "safe" ? "read" : "issue"}
`).join("");

/** Time without data after which a caller closes its connection, in milliseconds. */
const idleTimeoutMs = 15_000;

/** A running system with one recording upstream. */
export class RecordingUpstream {
    /** Requests that the upstream has read. */
    readonly requests: ReadRequest[] = [];
    /** Bytes that it could not read as a request, by connection. */
    readonly unread: string[] = [];
    /** Answers all requests with 200 by default. */
    answer: Answer = answerOk;
    system!: System;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor() {
        this.server = createServer(socket => this.accept(socket));
    }

    /** Starts the upstream and a system that sends it all requests. */
    static async start(settings = "", kind = ""): Promise<RecordingUpstream> {
        const upstream = new RecordingUpstream();
        await new Promise<void>(resolve => upstream.server.listen(0, "127.0.0.1", resolve));
        const limits = `[limits]\nstopDelayMs = 0\nstopMs = 1000\n${settings}`;
        upstream.system = await startSystem({ upstreams: [{}], settings: limits, kind, configuration: routes });
        const { port } = upstream.server.address() as AddressInfo;
        upstream.system.platform.publish("configuration", upstream.system.document(2, [port]));
        await waitUntil(() => upstream.system.daemon.instance.generation === 2);
        return upstream;
    }

    /**
     * Sends bytes on a connection of their own.
     *
     * @param text - The bytes, as Latin-1.
     * @param isComplete - Whether what was received is all that is expected; by default the connection must end.
     * @returns What was received until then, or until nothing more arrives for a while.
     */
    send(text: string, isComplete: (received: string) => boolean = () => false): Promise<Received> {
        return new Promise(resolve => {
            const received = { text: "", isReset: false };
            const socket = connect(this.system.callersPort, "127.0.0.1", () => socket.write(Buffer.from(text, "latin1")));
            const end = new ConnectionEnd(socket);
            socket.setTimeout(idleTimeoutMs, () => socket.destroy());
            socket.on("error", () => received.isReset = true).on("close", () => {
                received.isReset ||= end.wasReset;
                resolve(received);
            });
            socket.on("data", data => {
                received.text += data.toString("latin1");
                if (isComplete(received.text)) {
                    socket.destroy();
                }
            });
        });
    }

    /** Forgets what was read. */
    clear(): void {
        this.requests.length = 0;
        this.unread.length = 0;
    }

    async stop(): Promise<void> {
        await this.system.stop();
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        let rest = "";
        socket.on("error", () => undefined).on("data", data => {
            const stream = readStream(rest + data.toString("latin1"));
            rest = stream.rest;
            stream.requests.forEach(request => {
                this.requests.push(request);
                this.answer(request, socket);
            });
        }).on("close", () => {
            this.sockets.delete(socket);
            this.unread.push(...rest === "" ? [] : [rest]);
        });
    }
}

/** What a caller has received. */
export interface Received {
    readonly text: string;
    readonly isReset: boolean;
}

/** Statuses of the responses in a text. */
export const statusesIn = (text: string): readonly number[] =>
    [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

/** Whether a caller whose connection was closed regularly takes what it received for a complete response with status 200. */
export const looksLikeSuccess = (received: string): boolean => {
    const [lines = "", body = ""] = received.split(/\r\n\r\n(.*)/s);
    const length = /content-length: (\d+)/i.exec(lines)?.[1];
    const isCut = length === undefined
        ? /transfer-encoding: chunked/i.test(lines) && !body.endsWith("0\r\n\r\n")
        : body.length < Number(length);
    return lines.startsWith("HTTP/1.1 200") && !isCut;
};
