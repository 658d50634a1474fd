/**
 * Guards against an attempt that fails by an error of this program and takes the process, or its request's response, with it.
 */

import type { Attempt } from "@harrierhitch/daemon";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { MappedTransport } from "../src/mapped-transport.js";
import { startDaemon, startSystem, type System, waitUntil } from "./system.js";

/** Fails a number of attempts before or after their requests have begun. */
class FailingTransport extends MappedTransport {
    failures = 0;
    beginsBefore = false;

    constructor() {
        super(port => port);
    }

    override send(...[upstream, request, sink]: Parameters<MappedTransport["send"]>): Attempt {
        if (this.failures === 0) {
            return super.send(upstream, request, sink);
        }
        this.failures -= 1;
        if (this.beginsBefore) {
            request.onBegin?.({
                connection: 1,
                precedingRequests: 0,
                echoes: { ofRequest: false, ofProbe: false },
                upstreamEchoes: { hasEchoed: false },
                echoedIds: [],
            });
        }
        return { result: Promise.reject(new RangeError("not expected")), cancel: () => undefined, resume: () => undefined };
    }
}

describe("an attempt that fails by an error of this program", () => {
    const transport = new FailingTransport();
    let system: System;
    let daemon: ReturnType<typeof startDaemon>;
    let url: string;
    before(async () => {
        system = await startSystem({ upstreams: [{}, {}], kind: "maximumAttempts = 2\n" });
        daemon = startDaemon(system.platformPort, "", "entry-2", "", [], "", { transport });
        const { callers } = await daemon.start();
        url = `http://127.0.0.1:${callers}`;
        await waitUntil(() => daemon.instance.stage === "serving");
    });
    after(async () => {
        await daemon.stop();
        await transport.close();
        await system.stop();
    });

    /** Sends a request whose first attempts fail, and returns what its caller is told. */
    const send = async (method: "GET" | "POST", failures: number, beginsBefore: boolean) => {
        Object.assign(transport, { failures, beginsBefore });
        const { status, headers } = await fetch(`${url}/${method === "GET" ? "read/x" : "issue"}`, { method });
        await waitUntil(async () => /^harrierhitch_requests_in_flight 0$/m.test(await daemon.metricsText()));
        return [status, headers.get("x-request-outcome")];
    };

    const cases = [
        { name: "what may be repeated goes to another upstream", method: "GET", failures: 1, begins: true, told: [200, "ran"] },
        { name: "what was not sent goes to another upstream", method: "POST", failures: 1, begins: false, told: [200, "ran"] },
        { name: "what may have run is not sent again", method: "POST", failures: 1, begins: true, told: [502, "unknown"] },
        { name: "after the last attempt, the caller is told", method: "GET", failures: 2, begins: true, told: [502, "unknown"] },
    ] as const;
    cases.forEach(({ name, method, failures, begins, told }) => {
        test(name, async () => {
            assert.deepEqual(await send(method, failures, begins), told);
            assert.deepEqual(await send("GET", 0, false), [200, "ran"]);
        });
    });
});
