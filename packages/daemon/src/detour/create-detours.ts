/**
 * Creates the detours of a daemon.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { Agent as HttpAgent } from "node:http";
import type { Agent as HttpsAgent } from "node:https";
import { DetourClient } from "./detour-client.js";
import { DetourPeers } from "./detour-peers.js";
import { Detours } from "./detours.js";

/** Options of {@link createDetours}. */
export interface CreateDetoursOptions {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the fleet; `undefined` before this instance has joined it. */
    readonly fleet: () => Fleet | undefined;
    /** Returns the connections to other instances; `undefined` before this instance has joined the fleet. */
    readonly agent: () => HttpAgent | HttpsAgent | undefined;
}

/** Creates the detours; `undefined` for an instance that joins no fleet. */
export const createDetours = ({ settings, clock, random, fleet, agent }: CreateDetoursOptions): Detours | undefined => {
    const { peers, instance: { id: instance, availabilityZone } } = settings;
    if (peers === undefined) {
        return undefined;
    }
    const members = () => (fleet()?.members.alive ?? []).filter(member => member.instance !== instance);
    return new Detours({
        clock,
        client: new DetourClient({ fleet: peers.fleet, instance, agent }),
        peers: new DetourPeers({ clock, random, availabilityZone, members }),
    });
};
