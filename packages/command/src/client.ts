/**
 * The client for the operators' service of an instance.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@harrierhitch/protocol";
import { readFileSync } from "node:fs";

/** Address and TLS files for the operators' port of an instance. */
export interface InstanceAddress {
    /** Address as `IP:port`. */
    readonly instance: string;
    /** PEM file with the client certificate; enables TLS. */
    readonly certificate?: string | undefined;
    /** PEM file with the private key of the certificate. */
    readonly key?: string | undefined;
    /** PEM file with the authority that issued the instance's certificate. */
    readonly authority?: string | undefined;
}

/** Timeout of a call in milliseconds. */
const timeoutMs = 5000;

/** Creates a client for the operators' service. */
export const createOperatorClient = (address: InstanceAddress): Client<typeof OperatorService> =>
    createClient(
        OperatorService,
        createConnectTransport({
            baseUrl: baseUrl(address),
            httpVersion: "1.1",
            defaultTimeoutMs: timeoutMs,
            nodeOptions: tlsOptions(address),
        }),
    );

/** Returns the base URL of the operators' port. */
export const baseUrl = ({ instance, certificate }: InstanceAddress): string =>
    `${certificate === undefined ? "http" : "https"}://${instance}`;

/** Reads the TLS files and returns them as TLS options. */
export const tlsOptions = ({ certificate, key, authority }: InstanceAddress) => ({
    ...(certificate === undefined ? {} : { cert: readFileSync(certificate) }),
    ...(key === undefined ? {} : { key: readFileSync(key) }),
    ...(authority === undefined ? {} : { ca: readFileSync(authority) }),
});
