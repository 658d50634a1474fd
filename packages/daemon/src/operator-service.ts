/**
 * The operators' service of one instance.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { requestId } from "@harrierhitch/core";
import {
    ExplainResponseSchema,
    GetStatusResponseSchema,
    type InstanceStatus,
    InstanceStatusSchema,
    type OperatorService,
    type UpstreamStatus,
    UpstreamStatusSchema,
} from "@harrierhitch/protocol";
import { toCandidate, toExplanation } from "./explanation-message.js";
import type { Instance } from "./instance.js";
import type { ServiceRuntime } from "./service-runtime.js";
import { version } from "./version.js";

/** Options of {@link operatorService}. */
export interface OperatorServiceOptions {
    readonly instance: Instance;
    readonly availabilityZone: string;
    readonly requestsInFlight: () => number;
    /** Milliseconds since the platform last answered; negative if it never did. */
    readonly platformAgeMs: () => number;
    /** Begins a planned stop; gives the milliseconds until the callers' port closes. */
    readonly drain: () => number;
}

/** Implements the operators' service. */
export const operatorService = (options: OperatorServiceOptions): ServiceImpl<typeof OperatorService> => ({
    explain: request => {
        const record = options.instance.explanations.find(requestId(request.requestId));
        if (record === undefined) {
            throw new ConnectError(`instance ${options.instance.id} has no record of ${request.requestId}`, Code.NotFound);
        }
        return create(ExplainResponseSchema, { explanation: toExplanation(record), instance: options.instance.id });
    },
    getStatus: () => create(GetStatusResponseSchema, { instances: [toStatus(options)], unreachable: [] }),
    drain: () => ({ closesInMs: options.drain() }),
});

const toStatus = ({ instance, availabilityZone, requestsInFlight, platformAgeMs }: OperatorServiceOptions): InstanceStatus =>
    create(InstanceStatusSchema, {
        instance: instance.id,
        availabilityZone,
        version,
        state: instance.stage,
        generation: BigInt(instance.generation ?? 0),
        configurationHash: instance.configuration?.hash ?? "",
        uptimeMs: process.uptime() * 1000,
        requestsInFlight: requestsInFlight(),
        upstreams: instance.services.all().flatMap(toUpstreamStatuses),
        platformAgeMs: platformAgeMs(),
        records: instance.explanations.entries,
        recordBytes: instance.explanations.bytes,
    });

const toUpstreamStatuses = (runtime: ServiceRuntime): readonly UpstreamStatus[] =>
    runtime.beliefs.facts().map(facts =>
        create(UpstreamStatusSchema, { service: runtime.name, facts: toCandidate(facts), why: "" })
    );
