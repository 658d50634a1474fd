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
        const isPathIntact = await reachability.verify(upstream.id);
        const isClosed = reachability.stateOf(upstream.id) === "closed";
        const isRefusedHere = isClosed && await this.isRefusedHereOnly();
        if (isPathIntact && !isRefusedHere) {
            return isClosed && result.sent ? { ...result, hasCrashed: true } : result;
        }
        if (result.sent) {
            return isClosed && !isRefusedHere ? { ...result, hasCrashed: true } : { ...result, end: "path-lost" };
        }
        if (this.cancelled !== undefined) {
            return { ...result, end: this.cancelled };
        }
        return this.mayDetour && !(request.body instanceof Readable) ? await this.runDetour() : result;
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

    /** Whether an upstream refuses connections of this instance only; one that accepts them by now was restarted meanwhile. */
    private async isRefusedHereOnly(): Promise<boolean> {
        const { direct, reachability, upstream } = this.options;
        const isRefused = await this.stateForOthers() === "open" && await direct.checkPort(upstream) === "closed";
        if (isRefused) {
            reachability.recordRefusal(upstream.id);
        }
        return isRefused;
    }

    private async stateForOthers(): Promise<PortState> {
        const { detours, reachability, upstream } = this.options;
        const service = reachability.serviceOf(upstream.id);
        return this.mayDetour && detours !== undefined && service !== undefined
            ? await detours.checkPort(service, upstream)
            : "silent";
    }
}
