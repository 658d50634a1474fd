/**
 * Taking in what the head of an answer says of its sender: the one place where a reading turns into what is believed.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Observation, UpstreamEntry, UpstreamTracker } from "@harrierhitch/decision";
import type { LoadReport, ParsedResponse } from "./header-protocol.js";
import type { ResponseNotice } from "./response-notice.js";

/** The head of an answer, with whom it came from. */
export interface ReceivedResponse {
    readonly clock: Clock;
    readonly tracker: UpstreamTracker;
    readonly upstream: UpstreamEntry;
    readonly response: ParsedResponse;
    /** When the request or the probe was sent. */
    readonly sentAtMs: number;
    readonly isProbe: boolean;
}

/** Takes in one field; each field of a reading has one, so that nothing an upstream says is passed on unheard. */
type Takers<Reading> = { readonly [Field in keyof Required<Reading>]: (value: Reading[Field], heard: ReceivedResponse) => void; };

/** Least load of an upstream that sheds, in its slots. */
const shedLoadFactor = 4;

/**
 * Brings the beliefs about an upstream up to date by the head of its answer to a request or to a probe.
 *
 * @param heard - The answer.
 */
export const applyResponse = (heard: ReceivedResponse): void => takeEach(answerTakers, heard.response, heard);

const takeEach = <Reading extends object>(takers: Takers<Reading>, reading: Reading, heard: ReceivedResponse): void =>
    (Object.keys(takers) as (keyof Reading)[]).forEach(field => takers[field](reading[field], heard));

const observe = ({ tracker: beliefs, upstream }: ReceivedResponse, observation: Observation): void =>
    beliefs.observe(upstream.id, observation, upstream.startedAtMs);

/** Whether the answer is the upstream's own, to what was asked; others tell nothing of its load. */
const isOwn = ({ response: { mismatch: foreign, misdirected } }: ReceivedResponse): boolean =>
    foreign === undefined && !misdirected;

/** For what is told elsewhere, or decides what the caller gets, and teaches nothing of the upstream by itself. */
const nothing = (): void => undefined;

/** What an upstream says of its future holds, whichever request it answers. */
const noticeTakers: Takers<ResponseNotice> = {
    draining: (leaving, heard) => {
        const { clock } = heard;
        if (leaving) {
            observe(heard, { type: "draining", atMs: clock.nowMs(), saidAtUnixMs: clock.wallMs() });
        }
    },
    backoffMs: (restMs, heard) => {
        const { clock } = heard;
        if (restMs !== undefined) {
            observe(heard, { type: "resting", atMs: clock.nowMs(), backoffMs: restMs, saidAtUnixMs: clock.wallMs() });
        }
    },
    limit: (limit, heard) => {
        const { clock, isProbe, sentAtMs } = heard;
        // What was answered late, or to a probe, need not name a limit that still holds.
        const isSilence = limit.type === "none" && (isProbe || !isOwn(heard));
        if (limit.type !== "unreadable" && !isSilence) {
            const perSecond = limit.type === "named" ? limit.perSecond : undefined;
            observe(heard, { type: "limited", atMs: clock.nowMs(), perSecond, sentAtMs });
        }
    },
    invalidRetryAfter: nothing,
};

/** In the order in which they are taken in. */
const answerTakers: Takers<ParsedResponse> = {
    misdirected: (misdirected, heard) => {
        if (misdirected) {
            observe(heard, { type: "draining", atMs: heard.clock.nowMs() });
        }
    },
    notice: (notice, heard) => takeEach(noticeTakers, notice, heard),
    coldMs: (coldMs, heard) => {
        if (isOwn(heard) && coldMs !== undefined && coldMs > 0) {
            observe(heard, { type: "cooled", atMs: heard.clock.nowMs(), coldMs });
        }
    },
    load: (load, heard) => {
        if (isOwn(heard)) {
            takeLoad(load, heard);
        }
    },
    // Taken in with the load.
    shed: nothing,
    failed: nothing,
    mismatch: nothing,
    outcome: nothing,
    retryable: nothing,
    forwardable: nothing,
};

const takeLoad = (load: LoadReport | undefined, heard: ReceivedResponse): void => {
    const { clock, isProbe, response: reading, sentAtMs } = heard;
    const atMs = clock.nowMs();
    if (isProbe) {
        if (load !== undefined) {
            observe(heard, { type: "reported", atMs, ...load });
        }
    }
    else if (reading.shed) {
        takeShed(load, heard);
    }
    else {
        const { inFlight: reportedInFlight, ...figures } = load ?? { inFlight: undefined };
        observe(heard, {
            type: "answered",
            atMs,
            latencyMs: atMs - sentAtMs,
            failed: reading.failed,
            reportedInFlight,
            ...figures,
        });
    }
};

const takeShed = (load: LoadReport | undefined, heard: ReceivedResponse): void => {
    const { clock, upstream } = heard;
    const atMs = clock.nowMs();
    observe(heard, { type: "shed", atMs });
    if (load !== undefined && load.inFlight < (load.slots ?? upstream.slots)) {
        // It has room by its own word, and sheds for another reason: taken for full, its whole service would be held back from.
        observe(heard, { type: "reported", atMs, ...load });
        return;
    }
    // One that tells of no room, or of nothing, is full: it must not look idle.
    const inFlight = Math.max(load?.inFlight ?? 0, upstream.slots * shedLoadFactor);
    observe(heard, { type: "reported", atMs, ...load, inFlight });
};
