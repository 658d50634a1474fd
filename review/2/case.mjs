/**
 * Clients send requests whose bodies arrive in chunks. The check: each server runs only requests that a client sent, with the method,
 * path and body that it sent. With TROUBLE=0 the same bodies arrive with a length.
 */

import { Client } from "../lib/client.mjs";
import { operatorConfiguration, route, runCase } from "../lib/deployment.mjs";
import { sleep } from "../lib/net.mjs";
import { Record } from "../lib/record.mjs";
import { Server } from "../lib/server.mjs";

const chunked = process.env.TROUBLE !== "0";
const zones = ["sibiu-hall", "brasov-hall", "cluj-hall"];
const requestsPerMethod = 3;

/** Methods with which applications send bodies. */
const methods = ["POST", "PUT", "PATCH", "OPTIONS", "DELETE"];

const host = "archive.example";
const path = "/licence-file/4711";

const headers = { "Content-Type": "application/json" };

const record = new Record(new URL("record.txt", import.meta.url).pathname);

/** A body that quotes a request, as a report of an error does, and the usual one. */
const bodies = [
    `POST /licence-file/quoted HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: quoted-in-a-body\r\nContent-Length: 0\r\n\r\n`,
    JSON.stringify({ licence: 4711, reason: "withdrawn by the publisher" }),
];

const play = async deployment => {
    const servers = zones.flatMap((zone, index) =>
        [1, 2].map(number => ({ server: new Server({ id: `i-${index + 1}${number}`, record }), service: "licensing", zone }))
    );
    const licence = route("licence-file", host, { Service: "licensing", Kind: "unsafe", Timeout: "1000ms" });
    await deployment.start({ configuration: operatorConfiguration(1, [licence], 220), servers, zones, budgetSlack: 56 });
    const sent = new Map();
    for (const instance of deployment.instances) {
        const client = new Client(instance.front, record);
        for (const body of bodies) {
            for (const method of methods) {
                for (let number = 0; number < requestsPerMethod; number += 1) {
                    const { attempt } = await client.send({ method, host, path, deadlineMs: 1000, body, chunked, headers });
                    sent.set(attempt, { method, path, body });
                }
            }
        }
        client.close();
    }
    await sleep(500);
    return deployment.servers.flatMap(server => server.runs).flatMap(({ attempt, request, server }) => {
        const original = sent.get(attempt);
        const seen = `${request.method} ${request.path} with a body of ${request.body.length} bytes`;
        if (original === undefined) {
            return [`UNASKED: ${server} ran ${attempt} (${seen}), which no client sent`];
        }
        const isSame = request.method === original.method && request.path === original.path
            && request.body.toString("latin1") === original.body;
        return isSame ? [] : [`UNASKED: ${server} ran ${attempt} as ${seen} instead of ${original.body.length}`];
    });
};

await runCase(record, play);
