/**
 * Routes requests and starts the task that serves each of them.
 *
 * @packageDocumentation
 */

import { type Configuration, type Route, type RouteGroup, selectRoute } from "@harrierhitch/configuration";
import type { ActiveConfiguration } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { notReadyRetryAfterMs } from "../instance-times.js";
import type { LowDiscrepancySequence } from "../low-discrepancy-sequence.js";
import { outdatedProblem, overdueRetryAfterMs } from "../state-gate.js";
import type { StalenessTelemetry } from "../telemetry/staleness-telemetry.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import type { ServiceRegistry } from "../upstream/service-registry.js";
import type { CallerResponse } from "./caller-response.js";
import { hostOf, pathOf } from "./request-metadata.js";
import { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { RequestTask } from "./request-task.js";

/** Options of {@link RequestDispatcher}. */
export interface RequestDispatcherOptions {
    readonly services: RequestServices;
    readonly activeConfiguration: ActiveConfiguration;
    readonly registry: ServiceRegistry;
    readonly telemetry: Telemetry;
    /** Reports the staleness of the configuration. */
    readonly staleness: Pick<StalenessTelemetry, "recordRouted" | "fields">;
    /** Random samples that spread requests over the destinations of a route. */
    readonly samples: LowDiscrepancySequence;
}

/** A received request. */
export interface ArrivedRequest {
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    /** Time of arrival; earlier than now if the request waited for this instance to become ready. */
    readonly arrivedAtMs: number;
    /** Whether peers were contacted; until then the active configuration may be outdated. */
    readonly hasContactedPeers: boolean;
}

/** Finds the route of each request and serves it. */
export class RequestDispatcher {
    /** @param options - Services and the active configuration. */
    constructor(private readonly options: RequestDispatcherOptions) {}

    /** Serves a request until it is finished; it is routed once the published state is recent enough. */
    async serve(arrived: ArrivedRequest): Promise<void> {
        // Without a configuration there is nothing to wait for: the request is rejected.
        if (this.options.activeConfiguration.current !== undefined) {
            await this.options.services.stateGate.wait(() => this.timeoutMs(arrived.request));
        }
        await this.route(arrived)?.run();
    }

    /** Returns the time in which a request has to be answered by its route as known now, in milliseconds; infinite without one. */
    private timeoutMs(request: IncomingMessage): number {
        const { services: { headerProtocol }, activeConfiguration: { current } } = this.options;
        if (current === undefined) {
            return Infinity;
        }
        const { configuration } = current;
        const kind = this.findGroup(configuration, request)?.destinations[0]?.route.kind;
        return kind === undefined ? Infinity : headerProtocol.readRequestMetadata(request, configuration.fleet, kind).timeoutMs;
    }

    /**
     * Finds the route of a request. Not part of the asynchronous function, whose variables would keep the configuration alive until
     * the request is finished.
     *
     * @returns The task that serves the request; `undefined` if it was answered.
     */
    private route({ request, response, arrivedAtMs, hasContactedPeers }: ArrivedRequest): RequestTask | undefined {
        const { services, activeConfiguration: { current }, registry, telemetry } = this.options;
        if (response.callerDisconnected) {
            telemetry.callerLeftAtStart(services.clock.nowMs() - arrivedAtMs);
            return undefined;
        }
        if (current === undefined || !hasContactedPeers) {
            const detail = current === undefined ? "no configuration has been accepted yet" : "others have not been heard yet";
            response.sendProblem(
                { kind: "not-ready", detail, outcome: "not-run", retryAfterMs: notReadyRetryAfterMs },
                undefined,
            );
            return undefined;
        }
        if (!services.stateGate.isOpen) {
            response.sendProblem(outdatedProblem("not-run"), undefined, {
                "retry-after": services.headerProtocol.formatRetryAfter(overdueRetryAfterMs),
            });
            return undefined;
        }
        const { configuration } = current;
        const stalenessMs = this.options.staleness.recordRouted();
        const path = pathOf(request.url ?? "/");
        const group = this.findGroup(configuration, request);
        const route = group && this.selectRoute(group);
        const runtime = route && registry.get(route.service.name);
        if (route === undefined || runtime === undefined) {
            telemetry.requestUnrouted(request, path, this.options.staleness.fields);
            response.sendProblem({ kind: "no-route", detail: `${request.method} ${path}`, outcome: "not-run" }, undefined);
            return undefined;
        }
        const progress = new RequestProgress(services, runtime, {
            ...{ configuration, stalenessMs, route, request, response, arrivedAtMs },
        });
        return new RequestTask(services, runtime, progress);
    }

    private findGroup({ router }: Configuration, request: IncomingMessage): RouteGroup | undefined {
        return router.find(request.method ?? "", hostOf(request), pathOf(request.url ?? "/"));
    }

    private selectRoute(group: RouteGroup): Route | undefined {
        return selectRoute(group, group.destinations.length > 1 ? this.options.samples.next(group.name) : 0);
    }
}
