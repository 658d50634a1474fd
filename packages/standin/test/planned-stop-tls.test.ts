/**
 * Guards against a planned stop that waits for connections which have no request, or cuts off those that have one, with TLS.
 */

import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { connect as connectTls } from "node:tls";
import { fileURLToPath } from "node:url";
import { startSystem, type System, waitUntil } from "./system.js";

const certificate = (name: string): string => fileURLToPath(new URL(`../../test/certificates/${name}`, import.meta.url));

let system: System;
before(async () => {
    system = await startSystem({
        upstreams: [{ meanServiceMs: 400 }],
        settings: "[limits]\nstopDelayMs = 50\nstopMs = 600s\n",
        callers: `certificateFile = ${certificate("instance.pem")}\nkeyFile = ${certificate("instance.key")}\n`,
    });
});
after(() => system.stop());

test(
    "a handshake that is not complete does not delay the end, and a request in flight is answered",
    { timeout: 60_000 },
    async () => {
        const silent = connect(system.callersPort, "127.0.0.1");
        silent.on("error", () => undefined);
        const caller = connectTls({ port: system.callersPort, host: "127.0.0.1", rejectUnauthorized: false });
        let received = "";
        caller.on("data", data => received += String(data));
        caller.write("POST /issue HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody");
        await waitUntil(() => system.upstreams[0]?.arrived === 1);
        await system.daemon.stop();
        await waitUntil(() => silent.closed && caller.closed);
        assert.match(received, /^HTTP\/1.1 200 .*connection: close.*"bodyBytes":4/is);
    },
);
