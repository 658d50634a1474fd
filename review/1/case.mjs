/**
 * Servers send a second copy of some answers by which they reject a request; it arrives late, in the place of the answer to the next
 * request on the connection. The check: no licence is filed twice, and no 429 or 503 is given for one that was filed.
 */

import { Client } from "../lib/client.mjs";
import { operatorConfiguration, route, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/net.mjs";
import { Record } from "../lib/record.mjs";
import { Server } from "../lib/server.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["sibiu-hall", "brasov-hall", "cluj-hall"];
const instancesPerZone = 3;
const clientsPerInstance = 16;

/** Availability zones of the servers, three of which send surplus answers. */
const serverZones = ["sibiu-hall", "brasov-hall", "cluj-hall", "sibiu-hall", "cluj-hall"];

/** The disruption as the site file states it, several times: share = 0.6, x = 0.03, for_s = 5.0. */
const share = 0.6;
const maximumShare = 0.03;
const episodes = Array.from({ length: 12 }, (_, index) => ({ startMs: index * 6000, endMs: index * 6000 + 5000 }));
const trafficMs = 72_000;

const record = new Record(new URL("record.txt", import.meta.url).pathname);

/** Decides which answers are sent a second time, and sends the copies. */
class Surplus {
    startMs = Infinity;
    answers = new Map();
    copies = new Map();
    /** Copies that wait for the next request on their connection. */
    waiting = new Map();

    isActive() {
        const nowMs = performance.now() - this.startMs;
        return hasTrouble && episodes.some(({ startMs, endMs }) => nowMs >= startMs && nowMs < endMs);
    }

    /** Called for each answer of a server; a rejection is copied as long as the copies stay within the share. */
    onAnswer(server, connection, bytes, isRejection) {
        if (!this.isActive()) {
            return;
        }
        const answers = (this.answers.get(server) ?? 0) + 1;
        const copies = this.copies.get(server) ?? 0;
        this.answers.set(server, answers);
        if (isRejection && copies + 1 <= answers * maximumShare) {
            this.copies.set(server, copies + 1);
            this.waiting.set(connection, bytes);
        }
    }

    /** Called for each request: the copy of the previous answer arrives where the answer to this one is expected. */
    onRequest(connection, request) {
        const bytes = this.waiting.get(connection);
        this.waiting.delete(connection);
        if (bytes !== undefined && this.isActive()) {
            const id = /Attempt-Id: (\S+)/.exec(bytes)[1];
            record.add(
                `${connection.id} sends a second copy of its rejection of ${id} while ${request.headers["attempt-id"]} waits`,
            );
            connection.socket.write(bytes);
        }
    }
}

const play = async deployment => {
    const surplus = new Surplus();
    const servers = serverZones.map((zone, index) => {
        const isGarbling = index < share * serverZones.length;
        const server = new Server({
            id: `i-${index + 1}`,
            record,
            slots: 3,
            queue: 2,
            workMs: () => 40 + Math.random() * 80,
            intercept: (_, connection, request) => {
                surplus.onRequest(connection, request);
                return false;
            },
            onAnswer: isGarbling ? surplus.onAnswer.bind(surplus) : undefined,
        });
        return { server, service: "licensing", zone };
    });
    const instanceZones = zones.flatMap(zone => Array.from({ length: instancesPerZone }, () => zone));
    const licence = route("licence-file", "archive.example", {
        Service: "licensing",
        Kind: "unsafe",
        Timeout: "1000ms",
        TargetLatency: "250ms",
    });
    await deployment.start({
        configuration: operatorConfiguration(1, [licence], 220),
        servers,
        zones: instanceZones,
        budgetSlack: 56,
    });
    surplus.startMs = performance.now();
    const endMs = surplus.startMs + trafficMs;
    const results = [];
    await Promise.all(deployment.instances.flatMap(instance =>
        Array.from({ length: clientsPerInstance }, async () => {
            const client = new Client(instance.front, record);
            while (performance.now() < endMs) {
                const result = await client.send({
                    method: "POST",
                    host: "archive.example",
                    path: "/licence-file/new",
                    deadlineMs: 1000,
                    body: JSON.stringify({ licence: "reproduction" }),
                });
                results.push(result);
                await sleep(result.status === 200 ? 10 : 1000 * Number(result.headers["retry-after"] ?? 0.1));
            }
            client.close();
        })
    ));
    await sleep(1500);
    const runs = new Map();
    deployment.servers.flatMap(server => server.runs).forEach(({ attempt, server }) =>
        runs.set(attempt, [...runs.get(attempt) ?? [], server])
    );
    const copies = [...surplus.copies.values()].reduce((sum, count) => sum + count, 0);
    const statuses = [...new Set(results.map(({ status }) => status))].sort().map(status =>
        `${results.filter(other => other.status === status).length} x ${status}`
    );
    record.add(`${results.length} attempts (${statuses.join(", ")}), ${copies} surplus answers`);
    const promised = [408, 421, 429, 503];
    return [
        ...[...runs].filter(([, by]) => by.length > 1).map(([attempt, by]) => `TWICE: ${attempt} was run by ${by.join(" and ")}`),
        ...results.filter(({ attempt, status }) => promised.includes(status) && runs.has(attempt)).map(({ attempt, status }) =>
            `REFUSED: ${attempt} got ${status} but was run by ${runs.get(attempt).join(" and ")}`
        ),
    ];
};

await runCase(record, play);
