/**
 * Log fields for the inputs of a decision.
 *
 * @packageDocumentation
 */

import type { DecisionInput } from "@harrierhitch/decision";

/** Returns the main inputs that decide whether a request is held or refused, rounded for the log. */
export const decisionLogFields = (input: DecisionInput | undefined) => {
    if (input === undefined) {
        return undefined;
    }
    const { bestTime, room, askable, queued } = input.service;
    const { usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead } = input.request;
    const fields = { bestTime, room, askable, queued, usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead };
    return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, Math.round(value * 100) / 100]));
};
