/**
 * The load balancer daemon of an entry instance.
 *
 * @packageDocumentation
 */

export { Daemon, type DaemonOptions, type DaemonPorts } from "./daemon.js";
export { EventLog } from "./event-log.js";
export { type EventKind, events } from "./event.js";
export { Metrics } from "./metrics.js";
export { type Platform, PlatformError, type PlatformValue } from "./platform.js";
export { exitCodes, runDaemonProgram } from "./program.js";
