/**
 * The catalogue of log events, described in docs/EVENTS.md; a test keeps the two consistent.
 *
 * @packageDocumentation
 */

/** A kind of log event with a stable number. */
export interface EventKind {
    /** Stable number, unique in the catalogue. */
    readonly number: number;
    readonly level: "debug" | "info" | "warn" | "error";
    /** Short description of what happened. */
    readonly message: string;
}

/** All events that a daemon logs. */
export const events = {
    started: { number: 100, level: "info", message: "daemon started" },
    operatorsWithoutTls: { number: 101, level: "warn", message: "operators are served without TLS, on loopback only" },
    serving: { number: 102, level: "info", message: "serving callers" },
    stopRequested: { number: 110, level: "info", message: "planned stop started" },
    callersPortClosed: { number: 111, level: "info", message: "callers' port closed, finishing requests in flight" },
    stopAbortedRequests: { number: 112, level: "warn", message: "planned stop aborted requests that exceeded its time limit" },
    stopped: { number: 113, level: "info", message: "daemon stopped" },
    stopRepeated: { number: 116, level: "info", message: "planned stop was requested again; it goes on unchanged" },
    processStalled: { number: 120, level: "warn", message: "process was stalled; state was refreshed" },
    heapNearlyFull: {
        number: 121,
        level: "warn",
        message: "heap is nearly full; the older half of the decision records was dropped",
    },
    configurationAccepted: { number: 200, level: "info", message: "configuration accepted" },
    configurationInvalid: { number: 201, level: "error", message: "configuration is invalid and was rejected" },
    configurationOlder: { number: 202, level: "warn", message: "older configuration was received and ignored" },
    configurationConflict: { number: 203, level: "error", message: "two configurations have the same generation" },
    documentUnreadable: {
        number: 204,
        level: "error",
        message: "configuration from another instance cannot be restored; it is requested in full from now on",
    },
    platformFailed: { number: 210, level: "warn", message: "platform did not respond" },
    joining: { number: 103, level: "info", message: "peers' endpoint was opened; joining the fleet" },
    joinFailed: { number: 104, level: "error", message: "joining the fleet failed; this instance serves alone" },
    distributorLost: { number: 212, level: "warn", message: "reader or relay did not respond; another one is polled" },
    stateOverdue: { number: 214, level: "warn", message: "requests are routed by state that may be older than its bound" },
    stateCurrent: { number: 215, level: "info", message: "requests are routed by state within its bound again" },
    exchangesLimited: {
        number: 213,
        level: "warn",
        message: "exchanges with other instances are delayed by the rate limit of a link",
    },
    platformRecovered: { number: 211, level: "info", message: "platform responds again" },
    changesUnusable: {
        number: 216,
        level: "warn",
        message: "changes from the platform cannot be used; the current state is read instead",
    },
    stateAwaited: { number: 217, level: "warn", message: "requests wait, since the state may soon be older than its bound" },
    stateAwaitEnded: { number: 218, level: "info", message: "requests are routed again after waiting for newer state" },
    entryInvalid: { number: 220, level: "error", message: "discovered upstream cannot be parsed and is not used" },
    entryChanged: { number: 221, level: "info", message: "discovered upstreams were added, changed or removed" },
    directoryRead: { number: 222, level: "info", message: "discovered upstreams were read for the first time" },
    zoneChanged: { number: 223, level: "warn", message: "availability zone was taken out of service or put back" },
    itemInvalid: { number: 224, level: "error", message: "published item cannot be parsed and is ignored" },
    removalsUnconfirmed: {
        number: 225,
        level: "info",
        message: "removed upstreams stay in use for a grace period, since their entries may only have expired",
    },
    noPeerAnswered: { number: 230, level: "warn", message: "no peer answered; serving alone" },
    peerRefused: { number: 231, level: "warn", message: "another instance's call or connection was refused" },
    upstreamStateChanged: { number: 300, level: "info", message: "upstream changed state" },
    noticeReceived: { number: 322, level: "info", message: "upstream is draining or requested a backoff" },
    retryAfterUnreadable: { number: 323, level: "warn", message: "upstream's Retry-After cannot be parsed and is ignored" },
    limitChanged: { number: 326, level: "info", message: "upstream's rate limit was announced, changed or withdrawn" },
    limitUnreadable: { number: 327, level: "warn", message: "upstream's rate limit cannot be parsed and is ignored" },
    excludedByRateLimit: {
        number: 328,
        level: "info",
        message: "upstream was excluded: its rate limit allows this instance no request now",
    },
    pathLost: { number: 330, level: "warn", message: "upstreams cannot be reached from this instance" },
    pathRegained: { number: 331, level: "info", message: "upstreams can be reached from this instance again" },
    detourServed: { number: 332, level: "info", message: "request of another instance was sent to an upstream" },
    upstreamCrashed: { number: 320, level: "info", message: "upstream crashed while processing a request" },
    requestQuarantined: { number: 321, level: "warn", message: "request is quarantined: it crashes upstreams" },
    quarantineTrialSent: { number: 324, level: "info", message: "quarantined request is sent as a trial" },
    quarantineReleased: { number: 325, level: "info", message: "request is no longer quarantined" },
    policyFailed: { number: 310, level: "error", message: "policy clause failed; the safe default was used" },
    requestProblem: { number: 400, level: "info", message: "request was answered with a problem" },
    responseInterrupted: {
        number: 401,
        level: "warn",
        message: "upstream response was interrupted; response to the caller was aborted",
    },
    requestFailed: { number: 402, level: "error", message: "request failed with an internal error" },
    attemptEnded: { number: 403, level: "info", message: "attempt at an upstream ended" },
    requestServed: { number: 404, level: "debug", message: "request was completed" },
    requestUnrouted: { number: 405, level: "info", message: "no route matches the request" },
    callerLeft: { number: 406, level: "info", message: "caller disconnected before its response was complete" },
    readingPaused: { number: 407, level: "info", message: "reading from a caller's connection was paused for long" },
    earlyProblem: { number: 409, level: "info", message: "request was answered with a problem before it was routed" },
    responseNotTaken: { number: 408, level: "warn", message: "response was not taken for the answer to its request" },
    unframedResponse: { number: 410, level: "info", message: "response ended with its upstream's connection" },
    settingsReloaded: { number: 114, level: "info", message: "settings were reloaded" },
    settingsInvalid: {
        number: 115,
        level: "error",
        message: "changed settings were rejected; the previous ones remain in effect",
    },
    spansDropped: { number: 500, level: "warn", message: "spans were dropped" },
    linesDropped: { number: 510, level: "warn", message: "log lines were dropped to limit the log volume" },
} as const satisfies Readonly<Record<string, EventKind>>;
