/**
 * Where requests enter: the route of each, and the task that serves it.
 *
 * @packageDocumentation
 */

import { pickRoute, type Route, type RouteGroup } from "@harrierhitch/configuration";
import type { AcceptedConfiguration } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { notReadyRetryAfterMs } from "../instance-times.js";
import type { SpreadDraws } from "../spread-draws.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import type { ServiceRegistry } from "../upstream/service-registry.js";
import { hostOf, pathOf } from "./arrival.js";
import type { CallerAnswer } from "./caller-answer.js";
import { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { RequestTask } from "./request-task.js";

/** Options of {@link RequestEntry}. */
export interface RequestEntryOptions {
    readonly services: RequestServices;
    readonly accepted: AcceptedConfiguration;
    /** The state of all services. */
    readonly registry: ServiceRegistry;
    readonly telemetry: Telemetry;
    /** Draws that spread requests over the parts of a route. */
    readonly draws: SpreadDraws;
}

/** A request that has arrived. */
export interface ArrivedRequest {
    readonly request: IncomingMessage;
    readonly answer: CallerAnswer;
    /** When it arrived: earlier than now where it waited for this instance to be ready. */
    readonly arrivedAtMs: number;
    /** Whether the configuration in force may be relied on. */
    readonly hasHeardOthers: boolean;
}

/** Finds the route of each request and has it served. */
export class RequestEntry {
    /** @param options - Services and the configuration in force. */
    constructor(private readonly options: RequestEntryOptions) {}

    /** Serves one request to its end. */
    async serve({ request, answer, arrivedAtMs, hasHeardOthers }: ArrivedRequest): Promise<void> {
        const { services, accepted: { inForce }, registry, telemetry } = this.options;
        if (inForce === undefined || !hasHeardOthers) {
            const detail = inForce === undefined ? "no configuration has been accepted yet" : "others have not been heard yet";
            answer.problem({ kind: "not-ready", detail, outcome: "not-run", retryAfterMs: notReadyRetryAfterMs }, undefined);
            return;
        }
        const { configuration } = inForce;
        const path = pathOf(request.url ?? "/");
        const group = configuration.router.find(request.method ?? "", hostOf(request), path);
        const route = group && this.pick(group);
        const runtime = route && registry.get(route.service.name);
        if (route === undefined || runtime === undefined) {
            telemetry.unrouted(request, path, configuration.generation);
            answer.problem({ kind: "no-route", detail: `${request.method} ${path}`, outcome: "not-run" }, undefined);
            return;
        }
        const progress = new RequestProgress(services, runtime, { configuration, route, request, answer, arrivedAtMs });
        await new RequestTask(services, runtime, progress).run();
    }

    private pick(group: RouteGroup): Route | undefined {
        return pickRoute(group, group.choices.length > 1 ? this.options.draws.next(group.name) : 0);
    }
}
