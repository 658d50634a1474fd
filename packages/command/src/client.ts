/**
 * The connection of the command line to one instance.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@harrierhitch/protocol";
import { readFileSync } from "node:fs";

/** How to reach an instance's operators' side. */
export interface InstanceAddress {
    /** `IP:port`. */
    readonly instance: string;
    /** PEM file of the client's certificate; TLS is used when it is set. */
    readonly certificate?: string | undefined;
    readonly key?: string | undefined;
    /** PEM file of the authority that the instance's certificate must come from. */
    readonly authority?: string | undefined;
}

/** Time within which an instance must answer. */
const timeoutMs = 5000;

/** Opens a client of the operators' service. */
export const openClient = (address: InstanceAddress): Client<typeof OperatorService> =>
    createClient(
        OperatorService,
        createConnectTransport({
            baseUrl: baseUrl(address),
            httpVersion: "1.1",
            defaultTimeoutMs: timeoutMs,
            nodeOptions: tlsOptions(address),
        }),
    );

/** The URL of an instance's operators' side. */
export const baseUrl = ({ instance, certificate }: InstanceAddress): string =>
    `${certificate === undefined ? "http" : "https"}://${instance}`;

/** TLS files of the client, read. */
export const tlsOptions = ({ certificate, key, authority }: InstanceAddress) => ({
    ...(certificate === undefined ? {} : { cert: readFileSync(certificate) }),
    ...(key === undefined ? {} : { key: readFileSync(key) }),
    ...(authority === undefined ? {} : { ca: readFileSync(authority) }),
});
