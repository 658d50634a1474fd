/**
 * Guards against unauthorised access to the ports for operators and peers, and against a restart for new certificates.
 */

import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { Daemon, DaemonPorts } from "@harrierhitch/daemon";
import { ExchangeRequestSchema, OperatorService, PeerService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { copyFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, test } from "node:test";
import { PlatformStandin } from "../src/index.js";
import { startDaemon, waitUntil } from "./system.js";

const certificates = new URL("../../test/certificates/", import.meta.url);
const certificate = (name: string): string => new URL(name, certificates).pathname;

let directory: string;
let platform: PlatformStandin;
let daemon: Daemon;
let ports: DaemonPorts;

before(async () => {
    directory = mkdtempSync(join(tmpdir(), "tls-"));
    copyFileSync(certificate("instance.pem"), join(directory, "instance.pem"));
    copyFileSync(certificate("instance.key"), join(directory, "instance.key"));
    copyFileSync(certificate("authority.pem"), join(directory, "authority.pem"));
    platform = new PlatformStandin();
    const files = `certificateFile = ${join(directory, "instance.pem")}
keyFile = ${join(directory, "instance.key")}
authorityFile = ${join(directory, "authority.pem")}`;
    daemon = startDaemon(await platform.listen(), "", "entry-1", files);
    ports = await daemon.start();
});

after(async () => {
    await daemon.stop();
    await platform.close();
    rmSync(directory, { recursive: true });
});

const transport = (port: number, name: string | undefined, authority = "authority") =>
    createConnectTransport({
        baseUrl: `https://127.0.0.1:${port}`,
        httpVersion: "1.1",
        nodeOptions: {
            ca: readFileSync(certificate(`${authority}.pem`)),
            ...(name === undefined
                ? {}
                : { cert: readFileSync(certificate(`${name}.pem`)), key: readFileSync(certificate(`${name}.key`)) }),
        },
    });

const exchange = (name: string | undefined, fleet = "test") =>
    createClient(PeerService, transport(ports.peers, name)).exchange(create(ExchangeRequestSchema, { fleet }));

test("the operators' and the peers' port admit clients with a valid certificate", async () => {
    const status = await createClient(OperatorService, transport(ports.operators, "operator")).getStatus({ localOnly: true });
    assert.equal(status.instances[0]?.instance, "entry-1");
    assert.equal((await exchange("instance")).sender?.instance, "entry-1");
});

describe("the peers' port rejects and counts", () => {
    [
        { name: "a certificate of another authority", call: () => exchange("stranger") },
        { name: "an expired certificate", call: () => exchange("expired") },
        { name: "no certificate", call: () => exchange(undefined) },
        { name: "another fleet", call: () => exchange("instance", "other") },
    ].forEach(({ name, call }) => {
        test(name, async () => {
            const before = await rejectedPeers();
            await assert.rejects(call());
            await waitUntil(async () => await rejectedPeers() > before);
        });
    });

    test("an oversized message", async () => {
        const client = createClient(PeerService, transport(ports.peers, "instance"));
        const document = { version: { number: 1n, hash: "" }, text: "x".repeat(3_000_000) };
        await assert.rejects(client.exchange({ fleet: "test", configurationDocuments: [document] }));
    });
});

const rejectedPeers = async (): Promise<number> => {
    const metrics = await daemon.metricsText();
    return Number(/^harrierhitch_peers_refused_total (\d+)/m.exec(metrics)?.[1] ?? 0);
};

test("a new certificate is used without a restart", async () => {
    copyFileSync(certificate("stranger.pem"), join(directory, "instance.pem"));
    copyFileSync(certificate("stranger.key"), join(directory, "instance.key"));
    await waitUntil(async () => {
        try {
            await createClient(OperatorService, transport(ports.operators, "operator", "stranger-authority")).getStatus({
                localOnly: true,
            });
            return true;
        }
        catch {
            return false;
        }
    });
});
