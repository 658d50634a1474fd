/**
 * Starts the system's own program as the deploy file says, with a settings file filled from its template.
 */

import { spawn } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";

const roleOf = text => {
    const run = /^run = "(.*)"$/m.exec(text)?.[1] ?? "";
    const template = /^template = "(.*)"$/m.exec(text)?.[1] ?? "";
    return { run: run.split(" "), template };
};

const lookUp = (fields, name) => name.split(".").reduce((value, part) => value?.[part], fields);

/** Fills the gaps of a template; only the forms that this project's template uses. */
const fill = (template, fields) =>
    template
        .replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name, inner) =>
            lookUp(fields, name) === undefined ? "" : inner)
        .replace(/\{\{([\w.]+)\}\}/g, (_, name) =>
            String(lookUp(fields, name) ?? ""));

export class Instance {
    /** @param options - { root, directory, name, zone, ip, front, ready, control, seeds, store, bounds }. */
    constructor(options) {
        this.options = options;
        this.exits = [];
        const { run, template } = roleOf(readFileSync(join(options.root, "deploy/system.toml"), "utf8"));
        this.run = run;
        this.template = readFileSync(join(options.root, template), "utf8");
        this.settingsFile = join(options.directory, `${options.name}.conf`);
    }

    writeSettings() {
        const { name, zone, ip, front, ready, control, seeds, store, bounds = {} } = this.options;
        const fields = {
            Node: name,
            Zone: zone,
            Ip: ip,
            Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}`, Control: `${ip}:${control}` },
            Seeds: seeds.join(","),
            Platform: { Address: store },
            Bounds: {
                Drain: "2000ms",
                ConfigApply: "2000ms",
                Grace: "6s",
                RetryBudgetRatio: 0.2,
                BudgetSlack: 56,
                ProbesPerS: 60,
                ...bounds,
            },
        };
        writeFileSync(this.settingsFile, fill(this.template, fields));
    }

    start() {
        this.writeSettings();
        const [command, ...args] = this.run;
        const { PATH, HOME, LANG } = process.env;
        const log = openSync(join(this.options.directory, `${this.options.name}.log`), "a");
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: this.options.root,
            env: { PATH, HOME, LANG, HARRIERHITCH_NODE_FILE: this.settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.child = child;
        this.ended = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.exits.push({ code, signal, atMs: performance.now() });
                resolve({ code, signal });
            });
        });
    }

    signal(name) {
        this.child.kill(name);
    }

    /** SIGTERM, then SIGKILL after `Grace`, as the platform stops a process. */
    async stop(graceMs = 6000) {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), graceMs);
        const result = await this.ended;
        clearTimeout(timer);
        return result;
    }

    isReady() {
        const { ip, ready } = this.options;
        return new Promise(resolve => {
            const request = get({ host: ip, port: ready, path: "/v1/readyz", agent: false, timeout: 1000 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    async whenReady(timeoutMs = 10_000) {
        const endMs = performance.now() + timeoutMs;
        while (performance.now() < endMs) {
            if (await this.isReady()) {
                return true;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        return false;
    }
}
