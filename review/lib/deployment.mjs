/**
 * A small deployment on loopback addresses: the store and the servers are stand-ins, the instances are processes started with the
 * command and the template of the deploy file.
 */

import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freeHost, sleep, waitUntil } from "./net.mjs";
import { Store } from "./store.mjs";

const root = new URL("../../", import.meta.url).pathname;
const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
const deployValue = name => new RegExp(`^${name} = "(.*)"$`, "m").exec(deployFile)[1];
const [program, ...programArgs] = deployValue("run").split(" ");
const template = readFileSync(join(root, deployValue("template")), "utf8");

const ports = { front: 8381, control: 8382, ready: 8388, metrics: 9464 };

/** Bounds of most sites; the page of each states its `BudgetSlack`, and what differs. */
const commonBounds = { Grace: "6s", Drain: "2000ms", ConfigApply: "2000ms", RetryBudgetRatio: "0.2", ProbesPerS: "60" };

const lookUp = (fields, path) => path.split(".").reduce((value, name) => value?.[name], fields);

/** Fills in a template of settings (DEPLOY.md): values, and sections that stand if a value is given. */
const fillIn = (text, fields) =>
    text.replace(
        /\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g,
        (_, path, inner) => lookUp(fields, path) === undefined ? "" : inner,
    )
        .replace(/\{\{([\w.]+)\}\}/g, (_, path) => [lookUp(fields, path) ?? ""].flat().join(","));

/** One instance of the system. */
class Instance {
    constructor({ name, ip, zone, folder, record }) {
        Object.assign(this, { name, ip, zone, record, folder });
        this.front = `${ip}:${ports.front}`;
        this.ready = `${ip}:${ports.ready}`;
        this.control = `${ip}:${ports.control}`;
        this.settingsFile = join(folder, `${name}.ini`);
    }

    writeSettings({ storeAddress, seeds, bounds }) {
        writeFileSync(
            this.settingsFile,
            fillIn(template, {
                Node: this.name,
                Zone: this.zone,
                Ip: this.ip,
                Listen: { Front: this.front, Ready: this.ready, Control: this.control },
                Seeds: seeds,
                Platform: { Address: storeAddress },
                Bounds: bounds,
            }),
        );
    }

    start() {
        this.record.add(`${this.name} is started`);
        this.process = spawn(program, programArgs, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, HARRIERHITCH_NODE_FILE: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: "a" });
        this.process.stdout.pipe(log, { end: false });
        this.process.stderr.on("data", chunk => {
            log.write(chunk);
            this.errorText = `${this.errorText ?? ""}${chunk}`;
        });
        this.exited = new Promise(resolve =>
            this.process.once("exit", (code, signal) => {
                this.isRunning = false;
                this.record.add(`${this.name} has ended: ${signal ?? `exit code ${code}`}`);
                resolve({ code, signal });
            })
        );
        this.isRunning = true;
    }

    signal(name) {
        this.record.add(`${this.name} gets ${name}`);
        this.process.kill(name);
    }

    async isReady() {
        try {
            const { status } = await fetch(`http://${this.ready}/v1/readyz`, { signal: AbortSignal.timeout(500) });
            return status === 200;
        }
        catch {
            return false;
        }
    }

    /** Stops as the platform does: SIGTERM, and SIGKILL after the grace period. */
    async stop() {
        this.signal("SIGTERM");
        const killer = setTimeout(() => this.signal("SIGKILL"), 1000 * parseFloat(this.bounds.Grace));
        await this.exited;
        clearTimeout(killer);
    }
}

export class Deployment {
    store = new Store();
    instances = [];
    servers = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor(record) {
        this.record = record;
    }

    /**
     * Starts the store, the servers and the instances.
     *
     * @param options - `configuration` (the operator's), `servers` (with their `service` and `zone`), `zones` (of the instances),
     * `budgetSlack` (of the site) and `bounds` (those that differ from most sites).
     */
    async start({ configuration, servers, zones, budgetSlack, bounds = {} }) {
        const storeAddress = await this.store.listen(await freeHost([]));
        for (const { server, service, zone } of servers) {
            this.servers.push(server);
            this.register(server, { Service: service, Zone: zone, Address: await server.listen(await freeHost([])) });
        }
        this.store.put("op/config", configuration);
        const seeds = [];
        for (const [index, zone] of zones.entries()) {
            const ip = await freeHost(Object.values(ports));
            const instance = new Instance({
                name: `front-${zone}-${index + 1}`,
                ip,
                zone,
                folder: this.folder,
                record: this.record,
            });
            this.instances.push(instance);
            seeds.push(instance.control);
        }
        this.instances.forEach(instance => {
            instance.bounds = { ...commonBounds, ...bounds, BudgetSlack: String(budgetSlack) };
            instance.writeSettings({ storeAddress, seeds: seeds.slice(0, 3), bounds: instance.bounds });
            instance.start();
        });
        const areReady = async () => (await Promise.all(this.instances.map(instance => instance.isReady()))).every(Boolean);
        if (!await waitUntil(areReady, 15_000)) {
            throw new TypeError("the instances didn't become ready");
        }
        // The instances join each other two to three seconds after their start.
        await sleep(4000);
    }

    register(server, fields) {
        server.entry = {
            Version: "v1",
            Slots: server.options.slots,
            State: "ready",
            ColdLeft: "0ms",
            SeqNo: 1,
            ...server.entry,
            ...fields,
        };
        this.store.put(`servers/${server.id}`, server.entry);
    }

    /** Ends all processes that were started. */
    async close() {
        this.instances.filter(({ isRunning }) => isRunning).forEach(({ process: child }) => child.kill("SIGKILL"));
        await Promise.all(this.instances.map(({ exited }) => exited));
        this.servers.forEach(server => server.close());
        this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Returns a route of the operator's configuration. */
export const route = (name, host, fields) => ({
    Name: name,
    Host: host,
    PathPrefix: `/${name}/`,
    Kind: "safe",
    Timeout: "1000ms",
    TargetLatency: "250ms",
    Priority: 1,
    MaxAttempts: 2,
    ...fields,
});

/** Returns the operator's configuration. */
export const operatorConfiguration = (version, routes, maxConns = 260) => ({
    Version: version,
    Routes: routes,
    Services: [...new Set(routes.map(({ Service }) => Service))].map(name => {
        return { Name: name, HealthPath: "/healthz", MaxConns: maxConns, Protocol: "h1", Tls: false };
    }),
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeout: "3000ms", IdleTimeout: "15s" },
});

/** Time after which a case is ended. */
const maximumMs = 110_000;

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export const runCase = async (record, play) => {
    const deployment = new Deployment(record);
    const abandon = reason => {
        record.add(`the case couldn't run: ${reason}`);
        record.write();
        deployment.instances.forEach(({ process: child }) => child?.kill("SIGKILL"));
        process.exit(2);
    };
    const limit = setTimeout(() => abandon("it took too long"), maximumMs);
    ["SIGINT", "SIGTERM", "SIGHUP"].forEach(name => process.once(name, () => abandon(name)));
    let code = 2;
    try {
        const violations = await play(deployment);
        violations.forEach(text => record.add(`BROKEN ${text}`));
        record.add(violations.length === 0 ? "the rule held" : "the rule was broken");
        code = violations.length === 0 ? 0 : 1;
    }
    catch (thrown) {
        record.add(`the case couldn't run: ${thrown.stack}`);
    }
    await deployment.close();
    clearTimeout(limit);
    record.write();
    console.log(
        readFileSync(record.file, "utf8").trimEnd().split("\n").filter(line => /BROKEN|the rule|couldn't/.test(line)).join("\n"),
    );
    process.exit(code);
};
