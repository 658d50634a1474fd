/**
 * Applies the head of a response to the estimates of its upstream.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import type { Observation, UpstreamEntry, UpstreamTracker } from "@harrierhitch/decision";
import type { LoadReport, ParsedResponse } from "./header-protocol.js";
import type { ResponseNotice } from "./response-notice.js";

/** The head of a response to a request or a probe, with its upstream. */
export interface ReceivedResponse {
    readonly clock: Clock;
    readonly tracker: UpstreamTracker;
    readonly upstream: UpstreamEntry;
    readonly response: ParsedResponse;
    /** Time at which the request or the probe was sent. */
    readonly sentAtMs: number;
    readonly isProbe: boolean;
    /** Chooser of the request's policy; absent for a probe. */
    readonly chooser?: ChooserName;
}

/** A handler for each field, so that the compiler reports a field without one. */
type FieldHandlers<Parsed> = {
    readonly [Field in keyof Required<Parsed>]: (value: Parsed[Field], received: ReceivedResponse) => void;
};

/** Least load that is assumed for an upstream that sheds, as a multiple of its slots. */
const shedLoadPerSlot = 4;

/** Longest cold time that a response may state, in milliseconds; a longer one is ignored, since only time ends it. */
const maximumColdMs = 600_000;

/**
 * Updates the estimates of an upstream from the head of its response to a request or a probe.
 *
 * @param received - The response.
 */
export const applyResponse = (received: ReceivedResponse): void => applyFields(responseHandlers, received.response, received);

const applyFields = <Parsed extends object>(handlers: FieldHandlers<Parsed>, parsed: Parsed, received: ReceivedResponse): void =>
    (Object.keys(handlers) as (keyof Parsed)[]).forEach(field => handlers[field](parsed[field], received));

const observe = ({ tracker, upstream }: ReceivedResponse, observation: Observation): void =>
    tracker.observe(upstream.id, observation, upstream.startedAtMs);

/** Whether the response was sent by the addressed upstream for this request; only then its load report applies. */
const isFromTarget = ({ response: { mismatch, misdirected } }: ReceivedResponse): boolean =>
    mismatch === undefined && !misdirected;

/** For fields that don't change the estimates by themselves. */
const ignore = (): void => undefined;

/** Notices apply also if the rest of the response cannot be used. */
const noticeHandlers: FieldHandlers<ResponseNotice> = {
    draining: (draining, received) => {
        const { clock } = received;
        if (draining) {
            observe(received, { type: "draining", atMs: clock.nowMs(), saidAtUnixMs: clock.wallMs() });
        }
    },
    backoffMs: (backoffMs, received) => {
        const { clock } = received;
        if (backoffMs !== undefined) {
            observe(received, { type: "resting", atMs: clock.nowMs(), backoffMs, saidAtUnixMs: clock.wallMs() });
        }
    },
    limit: (limit, received) => {
        const { clock, isProbe, sentAtMs } = received;
        // A missing limit revokes the previous one only in a matching response to a request.
        const isAbsenceIgnored = limit.type === "none" && (isProbe || !isFromTarget(received));
        if (limit.type !== "unreadable" && !isAbsenceIgnored) {
            const perSecond = limit.type === "named" ? limit.perSecond : undefined;
            observe(received, { type: "limited", atMs: clock.nowMs(), perSecond, sentAtMs });
        }
    },
    invalidRetryAfter: ignore,
};

/** Handlers in the order in which the fields are applied. */
const responseHandlers: FieldHandlers<ParsedResponse> = {
    misdirected: (misdirected, received) => {
        if (misdirected) {
            observe(received, { type: "misdirected", atMs: received.clock.nowMs() });
        }
    },
    confirmed: (confirmed, received) => {
        if (confirmed) {
            observe(received, { type: "confirmed", atMs: received.clock.nowMs() });
        }
    },
    notice: (notice, received) => applyFields(noticeHandlers, notice, received),
    coldMs: (coldMs, received) => {
        if (isFromTarget(received) && coldMs !== undefined && coldMs > 0 && coldMs <= maximumColdMs) {
            observe(received, { type: "cooled", atMs: received.clock.nowMs(), coldMs });
        }
    },
    load: (load, received) => {
        if (isFromTarget(received)) {
            applyLoad(load, received);
        }
    },
    attribution: ignore,
    echoesId: ignore,
    // Applied together with the load.
    shed: ignore,
    failed: ignore,
    mismatch: ignore,
    outcome: ignore,
    retryable: ignore,
    forwardable: ignore,
};

const applyLoad = (load: LoadReport | undefined, received: ReceivedResponse): void => {
    const { clock, isProbe, response, sentAtMs } = received;
    const atMs = clock.nowMs();
    if (isProbe) {
        if (load !== undefined) {
            observe(received, { type: "reported", atMs, ...load });
        }
    }
    else if (response.shed) {
        applyShed(load, received);
    }
    else {
        const { inFlight: reportedInFlight, ...loadFields } = load ?? { inFlight: undefined };
        observe(received, {
            type: "answered",
            atMs,
            latencyMs: atMs - sentAtMs,
            failed: response.failed,
            reportedInFlight,
            ...loadFields,
        });
    }
};

/** Whether an upstream that shed a request reported headroom, so that it shed for another reason than load. */
export const isShedWithHeadroom = (response: ParsedResponse, upstream: UpstreamEntry): boolean =>
    response.shed && response.mismatch === undefined && !response.misdirected && isBelowSlots(response.load, upstream);

const isBelowSlots = (load: LoadReport | undefined, upstream: UpstreamEntry): boolean =>
    load !== undefined && load.inFlight < (load.slots ?? upstream.slots);

const applyShed = (load: LoadReport | undefined, received: ReceivedResponse): void => {
    const { chooser, clock, upstream } = received;
    const atMs = clock.nowMs();
    const hasHeadroom = isBelowSlots(load, upstream);
    // Fewer requests in flight do not prevent such a shed, and an instance has only one or two of them at an upstream.
    observe(received, { type: "shed", atMs, hasHeadroom, keepsLimit: hasHeadroom && chooser === "expected-completion" });
    if (load !== undefined && hasHeadroom) {
        // It reports headroom, so it sheds for another reason. If it counted as full, requests to the whole service would be held.
        observe(received, { type: "reported", atMs, ...load });
        return;
    }
    // Without reported headroom it counts as full.
    const inFlight = Math.max(load?.inFlight ?? 0, upstream.slots * shedLoadPerSlot);
    observe(received, { type: "reported", atMs, ...load, inFlight });
};
