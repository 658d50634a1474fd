/**
 * Another instance as this one knows it, and what it responds to a detour.
 */

import type { UpstreamEntry } from "@harrierhitch/decision";
import type { Member } from "@harrierhitch/protocol";
import { upstreamAt } from "./http-upstream.js";

/** Returns the member at a port. */
export const peerAt = (port: number): Member =>
    ({ instance: "entry-2", availabilityZone: "hall-a", address: "127.0.0.1", port }) as Member;

/** An upstream to which requests take a detour; nothing listens at its port. */
export const detouredUpstream = upstreamAt(1) as UpstreamEntry;

/** Returns a response of another instance that sent nothing to the upstream, with the id of a detour, or without one if it is empty. */
export const peerResponse = (result: string, id: string): string =>
    `HTTP/1.1 503 Busy\r\nx-harrierhitch-detour: ${result}\r\n${
        id === "" ? "" : `x-harrierhitch-detour-id: ${id}\r\n`
    }content-length: 0\r\n\r\n`;
