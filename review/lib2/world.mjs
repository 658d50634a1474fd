/**
 * A small deployment: a store, servers of a few services, three instances of the system and their clients.
 */

import { randomBytes } from "node:crypto";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { ClientConnection } from "./client.mjs";
import { Instance } from "./instance.mjs";
import { Server } from "./server.mjs";
import { RemoteStore } from "./store-worker.mjs";

export const hasTrouble = process.env.TROUBLE !== "0";

export const wait = ms => new Promise(done => setTimeout(done, ms));

/** Exit statuses of a case. */
export const exits = { held: 0, broken: 1, couldNotRun: 2 };

/** Time from the end of a process to its next start, in milliseconds. */
const restartMs = 300;

const freePort = host =>
    new Promise((done, fail) => {
        const server = createServer();
        server.once("error", fail);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });

export class World {
    runs = [];
    servers = [];
    sent = [];
    instances = [];
    isOver = false;
    #version = 1;
    #serverCount = 0;

    /** @param url - The module of the case, in whose folder the record is written. */
    constructor(url) {
        const folder = dirname(fileURLToPath(url));
        this.root = resolve(folder, "../..");
        this.recordFile = join(folder, "record.txt");
        this.directory = mkdtempSync(join(tmpdir(), "review-"));
        this.startedAtMs = performance.now();
        writeFileSync(this.recordFile, "");
        this.store = new RemoteStore();
    }

    /** Returns a loopback address. Each run has its own, since the port of the metrics is fixed. */
    address(role, number) {
        const { pid } = process;
        const third = 4 * (Math.floor(pid / 200) % 60) + ["store", "server", "instance"].indexOf(role);
        return `127.${16 + pid % 200}.${third}.${number}`;
    }

    get nowMs() {
        return performance.now() - this.startedAtMs;
    }

    record(text) {
        const line = `${(this.nowMs / 1000).toFixed(3)} s  ${text}`;
        console.log(line);
        appendFileSync(this.recordFile, `${line}\n`);
    }

    /** Returns the next version of the configuration. */
    nextConfiguration(routes, services, limits = {}) {
        this.#version += 2;
        return {
            Version: this.#version,
            Routes: routes,
            Services: services.map(Name => ({ Name, HealthPath: "/healthz", MaxConns: 220, Protocol: "h1", Tls: false })),
            Limits: {
                MaxHeaderBytes: 16_384,
                MaxBodyBytes: 67_108_864,
                HeaderTimeout: "3000ms",
                IdleTimeout: "15000ms",
                ...limits,
            },
        };
    }

    /** Publishes a version of the configuration; resolves when the store has acknowledged it. */
    async publish(routes, services, limits) {
        const configuration = this.nextConfiguration(routes, services, limits);
        const text = JSON.stringify(configuration);
        await this.store.put("op/config", text);
        return { version: configuration.Version, bytes: text.length };
    }

    async addServer(service, { workMs = () => 50, size = () => 1000, behave, slots = 3 } = {}) {
        this.#serverCount += 1;
        const host = this.address("server", this.#serverCount);
        const { store, runs } = this;
        const server = new Server({ store, runs, service, zone: "zone-1", host, workMs, size, behave, slots });
        this.servers.push(server);
        return await server.start();
    }

    /**
     * Starts the instances and waits until they are ready and know each other.
     *
     * @param count - Their number.
     * @param options - How many of them, the first ones, see the other addresses of servers.
     */
    async startInstances(count, { withOtherPaths = 0 } = {}) {
        const ips = Array.from({ length: count }, (_, index) => this.address("instance", index + 1));
        const [front, ready, control] = await Promise.all([0, 1, 2].map(() => freePort(ips[0])));
        const { root, directory, store } = this;
        const seeds = ips.map(ip => `${ip}:${control}`);
        this.instances = ips.map((ip, index) =>
            new Instance({
                ...{ root, directory, ip, front, ready, control, seeds },
                ...{
                    name: `front-${index + 1}`,
                    zone: "zone-1",
                    store: index < withOtherPaths ? store.otherAddress : store.address,
                },
            })
        );
        this.instances.forEach(instance => this.#run(instance));
        const areReady = await Promise.all(this.instances.map(instance => instance.whenReady()));
        if (areReady.includes(false)) {
            throw new Error("an instance did not become ready");
        }
        await wait(4000);
    }

    /** Starts a process, and starts it again when it ends, as the platform does. */
    #run(instance) {
        instance.start();
        void instance.ended.then(async ({ code, signal }) => {
            if (!this.isOver && !instance.isStopping) {
                this.record(
                    `${instance.options.name} ended by itself: code ${code}, signal ${signal}; ${this.lastWords(instance)}`,
                );
                await wait(restartMs);
                if (!this.isOver) {
                    this.#run(instance);
                }
            }
        });
    }

    /** Stops a process as planned. */
    async stop(instance) {
        instance.isStopping = true;
        const { code, signal } = await instance.stop();
        this.record(`${instance.options.name} has stopped: code ${code}, signal ${signal}`);
    }

    /** Starts a stopped process again. */
    restart(instance) {
        instance.isStopping = false;
        this.#run(instance);
    }

    /** The last fatal error that a process wrote. */
    lastWords({ options: { directory, name } }) {
        const lines = readFileSync(join(directory, `${name}.log`), "utf8").split("\n").filter(line =>
            line.startsWith("FATAL ERROR")
        );
        return lines.at(-1) ?? "it wrote no fatal error";
    }

    /**
     * Sends requests one after the other on kept connections until the end, and records what becomes of each.
     *
     * @param instance - Where they are sent.
     * @param request - Returns the next request: { method, path, host, deadlineMs, body }.
     */
    async runClient(instance, request, pauseMs = 20) {
        const { ip, front, name } = instance.options;
        while (!this.isOver) {
            const connection = new ClientConnection(ip, front);
            for (let index = 0; connection.isOpen && !connection.isClosing && !this.isOver; index += 1) {
                const attemptId = randomBytes(8).toString("hex");
                const entry = { attemptId, instance: name, isKept: index > 0, sentAtMs: this.nowMs, ...request() };
                this.sent.push(entry);
                const answer = await connection.send({ ...entry, attemptId });
                Object.assign(entry, answer, { answeredAtMs: this.nowMs });
                await wait(pauseMs);
            }
            connection.close();
            await wait(100);
        }
    }

    /** Returns the runs of a request. */
    runsOf({ attemptId }) {
        return this.runs.filter(({ attempt }) => attempt === attemptId);
    }

    /** Records what was sent, answered and run. */
    #recordRequests() {
        const runsById = new Map();
        this.runs.forEach(run => runsById.set(run.attempt, [...runsById.get(run.attempt) ?? [], run]));
        const lines = this.sent.map(({ attemptId, instance, sentAtMs, method, path, status, error, answeredAtMs = 0 }) => {
            const runs = (runsById.get(attemptId) ?? []).map(({ service, server, atMs }) =>
                `run by ${server} (${service}) at ${Math.round(atMs - this.startedAtMs)} ms`
            );
            const sent = `sent ${method} ${path} to ${instance} at ${Math.round(sentAtMs)} ms`;
            const answer = `${status ?? error ?? "no answer"} at ${Math.round(answeredAtMs)} ms`;
            return [attemptId, sent, runs.join(", ") || "not run", answer].join("; ");
        });
        appendFileSync(this.recordFile, `all requests:\n${lines.join("\n")}\n`);
    }

    /** Ends all processes; the exit status is that of the case. */
    async finish(status) {
        this.isOver = true;
        this.#recordRequests();
        this.instances.forEach(instance => instance.child?.exitCode === null && instance.signal("SIGKILL"));
        await Promise.all(this.instances.map(instance => instance.ended));
        this.servers.forEach(server => server.close());
        await this.store.close();
        rmSync(this.directory, { recursive: true, force: true });
        process.exit(status);
    }
}

/** Runs a case; one that cannot be set up ends with the status for that. */
export const runCase = async (url, play) => {
    const world = new World(url);
    try {
        await world.store.listen(world.address("store", 1));
        await world.finish(await play(world));
    }
    catch (thrown) {
        world.record(`the case could not run: ${thrown.stack}`);
        await world.finish(exits.couldNotRun);
    }
};

/** Counts by a key. */
export const countBy = (list, key) =>
    list.reduce((counts, entry) => ({ ...counts, [key(entry)]: (counts[key(entry)] ?? 0) + 1 }), {});
