/**
 * Discovered upstreams for tests.
 */

import type { DiscoveredUpstream } from "@harrierhitch/configuration";
import { serviceName, type UpstreamId } from "@harrierhitch/core";

/** Returns a discovered upstream; it is draining if the text of its entry is `leaving`. */
export const discoveredUpstream = (id: UpstreamId, text: string): DiscoveredUpstream => ({
    id,
    service: serviceName("main"),
    address: "127.0.0.1",
    port: 9000,
    availabilityZone: "zone-0",
    slots: 3,
    draining: text === "leaving",
    coldMs: 0,
    startedAtMs: 0,
});
