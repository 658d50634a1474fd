/**
 * The load balancer daemon of an entry instance.
 *
 * @packageDocumentation
 */

export { type DaemonOptions, type DaemonPorts } from "./daemon-options.js";
export { Daemon } from "./daemon.js";
export { type HttpCall, httpGet, HttpGetter, type HttpResult } from "./platform/http-get.js";
export {
    HistoryLostError,
    type Platform,
    type PlatformAdapter,
    PlatformError,
    type PlatformOptions,
    type Publication,
    type PublishedSyntax,
    type SyntaxOptions,
} from "./platform/platform.js";
export { type DaemonProgramOptions, exitCodes, runDaemonProgram } from "./program.js";
export { type AnswerNotice, noNotice, readRest } from "./request/answer-notice.js";
export { type Arrival, numberHeader, pathOf, textHeader } from "./request/arrival.js";
export { type AnswerHead, type AnswerReading, type Dialect, type LoadReport, type OutgoingAttempt } from "./request/dialect.js";
export { type LimitReading, noLimit, readLimit } from "./request/named-limit.js";
export { EventLog, type EventLogOptions } from "./telemetry/event-log.js";
export { type EventKind, events } from "./telemetry/event.js";
export { Metrics } from "./telemetry/metrics.js";
export { version } from "./version.js";
