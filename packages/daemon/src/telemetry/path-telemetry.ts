/**
 * Log events and metrics of the paths to upstreams.
 *
 * @packageDocumentation
 */

import type { DetourAddress } from "../detour/detour-address.js";
import { type DetourResult, formatDetourResult } from "../detour/detour-result.js";
import type { Framing } from "../upstream/framing.js";
import type { ReachabilityChange } from "../upstream/reachability-change.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** A request that another instance sent to an upstream through this one. */
export interface ServedDetour {
    readonly address: DetourAddress;
    readonly result: DetourResult;
    /** What delimits the body of the upstream's response; `undefined` without one. */
    readonly framing: Framing | undefined;
    /** Time until the request was sent on or rejected. */
    readonly waitedMs: number;
    /** Time until its response ended. */
    readonly durationMs: number;
}

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

    /** Logs that a detour failed with an internal error. */
    detourFailed(error: unknown): void {
        this.log.write(events.requestFailed, { error });
    }

    /** Counts a detour that this instance served, and logs it under the id of its request; probes are only counted. */
    detourServed({ address, result, framing, waitedMs, durationMs }: ServedDetour): void {
        const { request, instance, upstream } = address;
        this.metrics.detoursServed.inc({ result: formatDetourResult(result) });
        this.metrics.detourDuration.observe(durationMs / 1000);
        if (request !== "") {
            this.log.write(events.detourServed, {
                request,
                from: instance,
                upstream,
                result: formatDetourResult(result),
                framing,
                waitedMs: Math.round(waitedMs),
                durationMs: Math.round(durationMs),
            });
        }
    }
}
