/**
 * What the log tells of the inputs of a decision.
 *
 * @packageDocumentation
 */

import type { DecisionInput } from "@harrierhitch/decision";

/** The inputs that mostly decide whether a request is held or refused, as the log tells them. */
export const toDecidedBy = (input: DecisionInput | undefined) => {
    if (input === undefined) {
        return undefined;
    }
    const { bestTime, room, askable, queued } = input.service;
    const { usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead } = input.request;
    const figures = { bestTime, room, askable, queued, usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead };
    return Object.fromEntries(Object.entries(figures).map(([name, value]) => [name, Math.round(value * 100) / 100]));
};
