/**
 * An upstream on this machine, and a transport with one connection to it.
 */

import { serviceName, upstreamId } from "@harrierhitch/core";
import type { AddressInfo, Server } from "node:net";
import { HttpTransport } from "../src/upstream/http-transport.js";

/** Returns the upstream at a port. */
export const upstreamAt = (port: number, address = "127.0.0.1") => ({
    id: upstreamId("u1"),
    service: serviceName("main"),
    address,
    port,
    availabilityZone: "hall-a",
    slots: 1,
});

/** Returns a transport with one connection to an upstream. */
export const openTransport = (port: number, address?: string) => {
    const transport = new HttpTransport();
    const upstream = upstreamAt(port, address);
    transport.configure([{ upstream, service: upstream.service, connections: 1, connectTimeoutMs: 1000 }]);
    return { transport, upstream };
};

/** Returns the port on which a server listens. */
export const portOf = (server: Server): number => (server.address() as AddressInfo).port;
