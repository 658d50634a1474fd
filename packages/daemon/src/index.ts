/**
 * The load balancer daemon of an entry instance.
 *
 * @packageDocumentation
 */

export { type Arrival, numberHeader, pathOf, textHeader } from "./arrival.js";
export { type DaemonOptions, type DaemonPorts } from "./daemon-options.js";
export { Daemon } from "./daemon.js";
export { type AnswerHead, type AnswerReading, type Dialect, type LoadReport, type OutgoingAttempt } from "./dialect.js";
export { EventLog, type EventLogOptions } from "./event-log.js";
export { type EventKind, events } from "./event.js";
export { type HttpCall, httpGet, HttpGetter, type HttpResult } from "./http-get.js";
export { Metrics } from "./metrics.js";
export {
    HistoryLostError,
    type Platform,
    type PlatformAdapter,
    PlatformError,
    type PlatformOptions,
    type Publication,
    type PublishedSyntax,
    type SyntaxOptions,
} from "./platform.js";
export { type DaemonProgramOptions, exitCodes, runDaemonProgram } from "./program.js";
export { version } from "./version.js";
