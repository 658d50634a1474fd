/**
 * What tests of upstreams that name how much they take have in common.
 */

import assert from "node:assert/strict";
import { ModelFleet, type ModelFleetOptions } from "./model-fleet.js";
import type { ModelUpstream } from "./model-upstream.js";

const fleetOptions: ModelFleetOptions = {
    instances: 13,
    upstreams: 6,
    upstream: { slots: 6, queue: 12, workMs: 60 },
    targetMs: 300,
    patienceMs: 1100,
    isJoined: true,
};

/** Time in which instances come to know each other. */
const joinMs = 4000;

/** Requests a second of all callers together. */
export const usualPerSecond = 83;

/** The upstreams of a fleet. */
export const upstreamsOf = (fleet: ModelFleet): readonly ModelUpstream[] => [...fleet.upstreams.values()];

/** Fails where an upstream got more than it takes. */
export const assertKept = (fleet: ModelFleet): void =>
    upstreamsOf(fleet).forEach(({ limits }, index) => {
        assert.ok(limits.isKept, `upstream ${index}: ${JSON.stringify(limits.worst)}`);
    });

/** Plays with a fleet whose instances know each other. */
export const playing = async (change: Partial<ModelFleetOptions>, play: (fleet: ModelFleet) => Promise<void>): Promise<void> => {
    const fleet = new ModelFleet({ ...fleetOptions, ...change });
    await fleet.clock.advance(joinMs);
    try {
        await play(fleet);
    }
    finally {
        fleet.peers.stop();
    }
};

/** Share of what upstreams name that they get between two times. */
export const used = (upstreams: readonly ModelUpstream[], perSecond: number, fromMs: number, untilMs: number): number => {
    const got = upstreams.reduce((sum, { limits }) => sum + limits.between(fromMs, untilMs), 0);
    return got / (upstreams.length * perSecond * (untilMs - fromMs) / 1000);
};
