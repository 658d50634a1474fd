/**
 * Where requests enter: the route of each, and the task that serves it.
 *
 * @packageDocumentation
 */

import { type Route, type RouteGroup, selectRoute } from "@harrierhitch/configuration";
import type { ActiveConfiguration } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { notReadyRetryAfterMs } from "../instance-times.js";
import type { LowDiscrepancySequence } from "../low-discrepancy-sequence.js";
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
    readonly accepted: ActiveConfiguration;
    /** The state of all services. */
    readonly registry: ServiceRegistry;
    readonly telemetry: Telemetry;
    /** Draws that spread requests over the parts of a route. */
    readonly samples: LowDiscrepancySequence;
}

/** A request that has arrived. */
export interface ArrivedRequest {
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    /** When it arrived: earlier than now where it waited for this instance to be ready. */
    readonly arrivedAtMs: number;
    /** Whether the configuration in force may be relied on. */
    readonly hasContactedPeers: boolean;
}

/** Finds the route of each request and has it served. */
export class RequestDispatcher {
    /** @param options - Services and the configuration in force. */
    constructor(private readonly options: RequestDispatcherOptions) {}

    /** Serves one request to its end. */
    async serve({ request, response: answer, arrivedAtMs, hasContactedPeers: hasHeardOthers }: ArrivedRequest): Promise<void> {
        const { services, accepted: { current: inForce }, registry, telemetry } = this.options;
        if (inForce === undefined || !hasHeardOthers) {
            const detail = inForce === undefined ? "no configuration has been accepted yet" : "others have not been heard yet";
            answer.sendProblem({ kind: "not-ready", detail, outcome: "not-run", retryAfterMs: notReadyRetryAfterMs }, undefined);
            return;
        }
        const { configuration } = inForce;
        const path = pathOf(request.url ?? "/");
        const group = configuration.router.find(request.method ?? "", hostOf(request), path);
        const route = group && this.pick(group);
        const runtime = route && registry.get(route.service.name);
        if (route === undefined || runtime === undefined) {
            telemetry.requestUnrouted(request, path, configuration.generation);
            answer.sendProblem({ kind: "no-route", detail: `${request.method} ${path}`, outcome: "not-run" }, undefined);
            return;
        }
        const progress = new RequestProgress(services, runtime, { configuration, route, request, answer, arrivedAtMs });
        await new RequestTask(services, runtime, progress).run();
    }

    private pick(group: RouteGroup): Route | undefined {
        return selectRoute(group, group.destinations.length > 1 ? this.options.samples.next(group.name) : 0);
    }
}
