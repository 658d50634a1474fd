/**
 * Judges whether requests go to the service to which the last version of the configuration has moved their route; rule CONFIG.
 */

import { countBy, exits } from "./world.mjs";

const configApplyMs = 2000;

/**
 * @param world - The deployment; the service before the move is named "old".
 * @param acknowledgedAtMs - When the store acknowledged the version.
 * @returns The exit status of the case.
 */
export const judgeMovedRoute = (world, acknowledgedAtMs) => {
    const later = world.sent.filter(({ sentAtMs }) => sentAtMs > acknowledgedAtMs + configApplyMs);
    const stale = later.filter(entry => world.runsOf(entry).some(({ service }) => service === "old"));
    const lastMs = Math.max(0, ...stale.map(({ sentAtMs }) => Math.round(sentAtMs - acknowledgedAtMs)));
    world.record(`requests by result: ${JSON.stringify(countBy(world.sent, ({ status, error }) => status ?? error))}`);
    world.record(
        `sent more than ${configApplyMs} ms after the acknowledgement: ${later.length}, run by the old service: ${stale.length}`,
    );
    world.record(
        `of these by instance: ${
            JSON.stringify(countBy(stale, ({ instance }) => instance))
        }; the last was sent ${lastMs} ms after it`,
    );
    world.record(stale.length > 0 ? "CONFIG is broken" : "CONFIG held");
    return stale.length > 0 ? exits.broken : exits.held;
};
