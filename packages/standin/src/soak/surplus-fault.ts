/**
 * The fault `upstream-surplus`: full upstreams send surplus answers.
 *
 * @packageDocumentation
 */

import type { UpstreamBehaviour } from "../upstream-behaviour.js";
import { initialBehaviour, type SoakServers } from "./soak-servers.js";

/** An upstream that is full, reports that it is idle, and so rejects most requests. */
const surplusBehaviour: Partial<UpstreamBehaviour> = {
    surplusShare: 0.3,
    slots: 1,
    queue: 0,
    meanServiceMs: 40,
    reportedInFlight: 0,
};

const { surplusShare, slots, queue, meanServiceMs, reportedInFlight } = initialBehaviour;
const withoutSurplus: Partial<UpstreamBehaviour> = { surplusShare, slots, queue, meanServiceMs, reportedInFlight };

/**
 * Makes one or more upstreams send surplus answers; what they announce meanwhile may be lost with its connection.
 *
 * @param servers - The upstreams.
 * @param durationMs - Duration of the fault, in milliseconds.
 * @param target - Selects the upstreams: at least 0 and below 1; the lower, the more.
 */
export const sendSurplus = async (servers: SoakServers, durationMs: number, target: number): Promise<void> => {
    const upstreams = servers.upstreams.slice(Math.floor(target * servers.upstreams.length));
    upstreams.forEach(upstream => servers.changeBehaviour(upstream, surplusBehaviour));
    servers.clearAnnouncements();
    await new Promise(resolve => setTimeout(resolve, durationMs));
    upstreams.forEach(upstream => servers.changeBehaviour(upstream, withoutSurplus));
    servers.clearAnnouncements();
};
