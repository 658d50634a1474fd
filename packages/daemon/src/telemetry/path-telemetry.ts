/**
 * Log events and metrics of the paths to upstreams.
 *
 * @packageDocumentation
 */

import type { ReachabilityChange } from "../upstream/reachability-change.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Writes log events and updates metrics of the paths to upstreams. */
export class PathTelemetry {
    /**
     * @param log - Receives events.
     * @param metrics - Receives counts.
     */
    constructor(private readonly log: EventLog, private readonly metrics: Metrics) {}

    /** Logs that this instance lost or regained its path to upstreams, with what that was concluded from. */
    reachabilityChanged(change: ReachabilityChange): void {
        const { service, upstreams, isReachable, unreachable, total, checks, quietMs } = change;
        this.metrics.unreachableUpstreams.set({ service }, unreachable);
        this.log.write(isReachable ? events.pathRegained : events.pathLost, {
            service,
            upstreams,
            unreachable,
            total,
            checks: checks.map(({ upstream, state }) => `${upstream} ${state}`),
            quietMs: quietMs === undefined ? undefined : Math.round(quietMs),
        });
    }
}
