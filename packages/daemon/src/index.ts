/**
 * The load balancer daemon that runs on each entry instance.
 *
 * @packageDocumentation
 */

export { type DaemonOptions, type DaemonPorts } from "./daemon-options.js";
export { Daemon } from "./daemon.js";
export { HttpClient, httpGet, type HttpGetRequest, type HttpResponse } from "./platform/http-get.js";
export {
    type DocumentParser,
    type DocumentParserOptions,
    HistoryLostError,
    type Platform,
    type PlatformAdapter,
    PlatformError,
    type PlatformOptions,
    type Publication,
    UnusablePublicationError,
} from "./platform/platform.js";
export { type DaemonProgramOptions, exitCodes, runDaemonProgram } from "./program.js";
export { noLimit, type ParsedLimit, readLimit } from "./request/announced-limit.js";
export {
    type Attribution,
    type HeaderProtocol,
    type LoadReport,
    type OutgoingAttempt,
    type ParsedResponse,
    type ResponseHead,
} from "./request/header-protocol.js";
export { numberHeader, recordedPathOf, type RequestMetadata, textHeader } from "./request/request-metadata.js";
export { noNotice, readBackoff, type ResponseNotice } from "./request/response-notice.js";
export { EventLog, type EventLogOptions } from "./telemetry/event-log.js";
export { type EventKind, events } from "./telemetry/event.js";
export { Metrics } from "./telemetry/metrics.js";
export { type PortState } from "./upstream/check-port.js";
export { ConnectionEnd } from "./upstream/connection-end.js";
export { HttpTransport } from "./upstream/http-transport.js";
export {
    type Attempt,
    type ResponseSink,
    type UpstreamRequest,
    type UpstreamTarget,
    type UpstreamTransport,
} from "./upstream/upstream-transport.js";
export { version } from "./version.js";
