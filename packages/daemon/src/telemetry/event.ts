/**
 * The catalogue of log events. docs/EVENTS.md describes each of them; a test
 * compares the two.
 *
 * @packageDocumentation
 */

/** A kind of log event with a stable number. */
export interface EventKind {
    /** Stable number, unique in the catalogue. */
    readonly number: number;
    readonly level: "debug" | "info" | "warn" | "error";
    /** What happened, in a few words. */
    readonly message: string;
}

/** Every event that a daemon logs. */
export const events = {
    started: { number: 100, level: "info", message: "daemon started" },
    plainOperators: { number: 101, level: "warn", message: "operators are served without TLS, on loopback only" },
    serving: { number: 102, level: "info", message: "callers are served" },
    stopRequested: { number: 110, level: "info", message: "planned stop began" },
    callersClosed: { number: 111, level: "info", message: "callers' port closed, finishing requests in flight" },
    stopCutOff: { number: 112, level: "warn", message: "planned stop cut off requests that outlasted its limit" },
    stopped: { number: 113, level: "info", message: "daemon stopped" },
    wokeLate: { number: 120, level: "warn", message: "process slept; beliefs were refreshed" },
    configurationAccepted: { number: 200, level: "info", message: "configuration accepted" },
    configurationInvalid: { number: 201, level: "error", message: "published configuration was rejected" },
    configurationOlder: { number: 202, level: "warn", message: "older configuration was offered and left aside" },
    configurationConflict: { number: 203, level: "error", message: "two configurations share one generation" },
    platformFailed: { number: 210, level: "warn", message: "platform did not answer" },
    joining: { number: 103, level: "info", message: "other instances are talked to" },
    joinFailed: { number: 104, level: "error", message: "other instances cannot be talked to, this one works alone" },
    sourceLost: { number: 212, level: "warn", message: "a reader or relay did not answer, another one is asked" },
    exchangesLimited: {
        number: 213,
        level: "warn",
        message: "exchanges with other instances are held back by the limit of a link",
    },
    platformRecovered: { number: 211, level: "info", message: "platform answers again" },
    listingInvalid: { number: 220, level: "error", message: "listed upstream cannot be read; it is not used" },
    listingChanged: { number: 221, level: "info", message: "listed upstream came, changed or went" },
    listingsRead: { number: 222, level: "info", message: "listed upstreams were read for the first time" },
    zoneChanged: { number: 223, level: "warn", message: "availability zone was taken out of service or put back" },
    itemInvalid: { number: 224, level: "error", message: "published item cannot be read; it is left out" },
    heardNobody: { number: 230, level: "warn", message: "no other instance was heard; serving alone" },
    peerRefused: { number: 231, level: "warn", message: "another instance's call or connection was refused" },
    upstreamStateChanged: { number: 300, level: "info", message: "upstream changed state" },
    noticeHeard: { number: 322, level: "info", message: "upstream said that it leaves, or asked for a rest" },
    retryAfterUnreadable: { number: 323, level: "warn", message: "upstream's Retry-After cannot be read; it is left out" },
    limitChanged: { number: 326, level: "info", message: "upstream's limit on requests a second came, changed or went" },
    limitUnreadable: { number: 327, level: "warn", message: "upstream's limit cannot be read; it is left out" },
    leftOutLimited: { number: 328, level: "info", message: "upstream was left out: its limit leaves this instance nothing now" },
    endedUnder: { number: 320, level: "info", message: "upstream ended while a request was under way there" },
    requestWithheld: { number: 321, level: "warn", message: "request is withheld: upstreams end under it" },
    withheldTried: { number: 324, level: "info", message: "withheld request is tried once" },
    withheldReleased: { number: 325, level: "info", message: "request is no longer withheld" },
    policyFailed: { number: 310, level: "error", message: "policy clause failed; the safe default was used" },
    requestProblem: { number: 400, level: "info", message: "request was answered with a problem" },
    answerCutOff: { number: 401, level: "warn", message: "answer broke off and was cut off towards the caller" },
    requestFailed: { number: 402, level: "error", message: "request failed inside the daemon" },
    attemptEnded: { number: 403, level: "info", message: "attempt at an upstream ended" },
    requestServed: { number: 404, level: "debug", message: "request was answered" },
    requestUnrouted: { number: 405, level: "info", message: "no route matches the request" },
    settingsReloaded: { number: 114, level: "info", message: "settings were read again" },
    settingsInvalid: { number: 115, level: "error", message: "changed settings were rejected; the last good ones stay" },
    spansDropped: { number: 500, level: "warn", message: "spans were dropped" },
    linesDropped: { number: 510, level: "warn", message: "log lines were dropped to keep the volume bounded" },
} as const satisfies Readonly<Record<string, EventKind>>;
