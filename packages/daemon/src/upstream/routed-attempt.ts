/**
 * An attempt that takes a detour if this instance cannot reach the upstream and has sent it nothing.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import { Readable } from "node:stream";
import type { Detours } from "../detour/detours.js";
import type { PortState } from "./check-port.js";
import { DirectAttempt } from "./direct-attempt.js";
import type { Reachability } from "./reachability.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTransport } from "./upstream-transport.js";

/** Ways to send to upstreams. */
export interface Routes {
    readonly clock: Clock;
    /** Sends over connections of this instance. */
    readonly direct: UpstreamTransport;
    readonly reachability: Reachability;
    /** Sends through other instances; `undefined` for an instance without peers. */
    readonly detours: Detours | undefined;
}

/** Options of {@link RoutedAttempt}. */
export interface RoutedAttemptOptions extends Routes {
    readonly upstream: UpstreamEntry;
    readonly request: UpstreamRequest;
    readonly sink: ResponseSink;
}

/**
 * Why a request failed without a response.
 *
 * - `upstream`: the upstream accepts connections, or it alone does not.
 * - `crash`: no process listens at the upstream's address.
 * - `path`: this instance cannot reach the upstream.
 */
type FailureCause = "upstream" | "crash" | "path";

/** Sends a request directly or through another instance, depending on what is known of the path to its upstream. */
export class RoutedAttempt implements Attempt {
    readonly result: Promise<AttemptResult>;
    private inner: Attempt | undefined;
    private cancelled: "timed-out" | "cancelled" | undefined;

    /** @param options - The request, its upstream and the transports. */
    constructor(private readonly options: RoutedAttemptOptions) {
        const { reachability, upstream } = options;
        this.result = reachability.isReachable(upstream.id) || !this.mayDetour ? this.runDirectly() : this.runDetour();
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.cancelled ??= end;
        this.inner?.cancel(end);
    }

    resume(): void {
        this.inner?.resume();
    }

    private get mayDetour(): boolean {
        return this.options.request.isDirectOnly !== true && this.options.detours?.isAvailable === true;
    }

    private async runDirectly(): Promise<AttemptResult> {
        const { clock, direct, reachability, upstream, request, sink } = this.options;
        const attempt = new DirectAttempt({ clock, transport: direct, reachability, upstream, request, sink });
        this.inner = attempt;
        const result = await attempt.result;
        const hasFailed = result.end === "connect-failed" || result.end === "reset" && !attempt.hasResponse;
        if (!hasFailed) {
            return result;
        }
        const cause = await this.findCause();
        if (cause === "upstream") {
            return result;
        }
        if (result.sent) {
            return cause === "crash" ? { ...result, hasCrashed: true } : { ...result, end: "path-lost" };
        }
        if (cause === "crash" || !this.mayDetour || request.body instanceof Readable) {
            return result;
        }
        return this.cancelled === undefined ? await this.runDetour() : { ...result, end: this.cancelled };
    }

    /**
     * Finds out why a request failed without a response. An upstream whose port is closed has crashed if other instances are refused, too, or if
     * they cannot tell but this instance reaches others of its service.
     */
    private async findCause(): Promise<FailureCause> {
        const { reachability, upstream, direct } = this.options;
        const state = await reachability.check(upstream.id);
        if (state === "open" || state === undefined) {
            return "upstream";
        }
        if (state === "silent") {
            return await reachability.compare(upstream.id) ? "upstream" : "path";
        }
        const forOthers = await this.stateForOthers();
        if (forOthers === "closed") {
            return "crash";
        }
        const isPathIntact = await reachability.compare(upstream.id);
        // One that accepts connections again was restarted meanwhile.
        if (isPathIntact && forOthers === "open" && await direct.checkPort(upstream) === "closed") {
            reachability.recordRefusal(upstream.id);
            return "path";
        }
        return isPathIntact || !this.mayDetour ? "crash" : "path";
    }

    private async runDetour(): Promise<AttemptResult> {
        const { detours, reachability, upstream, request, sink } = this.options;
        const service = reachability.serviceOf(upstream.id);
        if (detours === undefined || service === undefined) {
            return { end: "connect-failed", status: undefined, detail: `${upstream.id} is not in service`, sent: false };
        }
        const detour = detours.send(service, upstream, request, sink);
        this.inner = detour;
        return await detour.result;
    }

    private async stateForOthers(): Promise<PortState> {
        const { detours, reachability, upstream } = this.options;
        const service = reachability.serviceOf(upstream.id);
        return this.mayDetour && detours !== undefined && service !== undefined
            ? await detours.checkPort(service, upstream)
            : "silent";
    }
}
