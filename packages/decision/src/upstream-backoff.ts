/**
 * What to do with a request while all upstreams of its service rest, or name limits that leave nothing to this instance now.
 *
 * Load pattern: upstreams that are overrun or being mended turn away whatever comes, and ask to be left alone, or name how little they
 * take. Asking them all the same costs each caller a round trip and the upstreams their rest; holding callers for longer than
 * helps makes them late.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";

/** Longest wait for an ejected upstream, which may take requests again before any rest ends, in milliseconds. */
const ejectedMs = 1000;

/** Shortest time over which callers come back after a rest, in milliseconds: several times what a request works. */
const shortestSpreadMs = 250;

/** Time over which callers come back, as a share of the rest that is left: all at its end, they would crowd the upstreams. */
const spreadShare = 0.5;

/** What the wait for an upstream depends on. */
export type UpstreamWait = Pick<UpstreamFacts, "state" | "restMs" | "shareInMs">;

/**
 * Time until the first upstream takes a request of this instance, where all that are there rest or are limited.
 *
 * @param upstreams - What is believed of them.
 * @returns Milliseconds; `undefined` where some take requests now, or none is there.
 */
export const earliestAvailableMs = (upstreams: readonly UpstreamWait[]): number | undefined => {
    const staying = upstreams.filter(({ state }) => state !== "draining");
    const usable = staying.filter(({ state }) => state !== "ejected");
    const waitMs = Math.min(...usable.map(waitForMs));
    if (usable.length === 0 || waitMs <= 0) {
        return undefined;
    }
    return usable.length < staying.length ? Math.min(waitMs, ejectedMs) : waitMs;
};

/** Time until an upstream takes a request of this instance, in milliseconds. */
const waitForMs = ({ restMs, shareInMs }: UpstreamWait): number => Math.max(restMs, shareInMs);

/** Whether limits bind some of the upstreams, and not rests all of them. */
export const isLimited = (upstreams: readonly UpstreamWait[]): boolean =>
    upstreams.some(({ state, restMs, shareInMs }) => state !== "draining" && restMs <= 0 && shareInMs > 0);

/**
 * Time until the turn of a request comes where upstreams name limits, in milliseconds.
 *
 * @param waitMs - Time until the first of them takes a request of this instance.
 * @param ahead - Requests that wait here and go first.
 * @param upstreams - What is believed of them.
 */
export const queueWaitMs = (waitMs: number, ahead: number, upstreams: readonly UpstreamFacts[]): number => {
    const perMs = upstreams.reduce((sum, { shareGapMs }) => sum + (shareGapMs > 0 ? 1 / shareGapMs : 0), 0);
    return perMs === 0 ? waitMs : waitMs + ahead / perMs;
};

/**
 * When a caller that was turned away during a rest should come back: after it, and not at the same moment as the others.
 *
 * @param restMs - Milliseconds until the rest ends.
 * @param draw - A random number of at least 0 and below 1.
 * @returns Milliseconds.
 */
export const jitteredRetryAfterMs = (restMs: number, draw: number): number =>
    restMs + draw * Math.max(shortestSpreadMs, restMs * spreadShare);
