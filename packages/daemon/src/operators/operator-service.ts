/**
 * The operators' service of one instance.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type Clock, requestId, upstreamId } from "@harrierhitch/core";
import type { StoredLimit } from "@harrierhitch/decision";
import { callWithTimeout, type PeerClients } from "@harrierhitch/fleet";
import type { UpstreamFacts } from "@harrierhitch/policy";
import {
    type ExplainResponse,
    ExplainResponseSchema,
    type Explanation,
    GetStatusResponseSchema,
    type InstanceStatus,
    InstanceStatusSchema,
    type OperatorService,
    type UpstreamStatus,
    UpstreamStatusSchema,
} from "@harrierhitch/protocol";
import type { Instance } from "../instance.js";
import { instanceOf } from "../request/request-id.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import { version } from "../version.js";
import { toCandidate, toExplanation } from "./explanation-message.js";

/** Options of {@link operatorService}. */
export interface OperatorServiceOptions {
    readonly instance: Instance;
    readonly clock: Clock;
    /** Clients of other instances; `undefined` for an instance that works alone. */
    readonly clients: PeerClients | undefined;
    readonly availabilityZone: string;
    readonly requestsInFlight: () => number;
    /** Milliseconds since the platform last answered; negative if it never did. */
    readonly platformAgeMs: () => number;
    /** Begins a planned stop; gives the milliseconds until the callers' port closes. */
    readonly drain: () => number;
}

/** Longest time for asking another instance. */
const peerTimeoutMs = 1000;

/** Implements the operators' service. */
export const operatorService = (options: OperatorServiceOptions): ServiceImpl<typeof OperatorService> => ({
    explain: async request => {
        const explanation = explainLocally(options.instance, request.requestId);
        return explanation === undefined && !request.localOnly
            ? await explainElsewhere(options, request.requestId)
            : create(ExplainResponseSchema, {
                explanation: explanation ?? notFound(options, request.requestId),
                instance: options.instance.id,
            });
    },
    getStatus: async request => {
        const others = request.localOnly ? [] : await statusOfOthers(options);
        return create(GetStatusResponseSchema, {
            instances: [toStatus(options), ...others.flatMap(other => other.status ?? [])],
            unreachable: others.filter(other => other.status === undefined).map(other => other.instance),
        });
    },
    drain: () => ({ closesInMs: options.drain() }),
});

/** Explains a request that this instance decided; `undefined` without a record. */
export const explainLocally = (instance: Instance, id: string): Explanation | undefined => {
    const record = instance.explanations.find(requestId(id));
    return record && toExplanation(record);
};

const notFound = ({ instance }: OperatorServiceOptions, id: string): never => {
    throw new ConnectError(`instance ${instance.id} has no record of ${id}`, Code.NotFound);
};

/** What is left of an explanation when the instance that decided is gone. */
const whatSurvives = "; what survives is the header x-harrierhitch-decision of the answer and the trace";

const explainElsewhere = async (options: OperatorServiceOptions, id: string): Promise<ExplainResponse> => {
    const decider = instanceOf(requestId(id));
    const { clients, clock } = options;
    const peer = options.instance.fleet?.members.others.find(member => member.instance === decider);
    if (decider === undefined || peer === undefined || clients === undefined) {
        return notFound(options, id);
    }
    try {
        const { explanation } = await callWithTimeout(
            clock,
            peerTimeoutMs,
            signal => clients.to(peer).explainLocal({ requestId: id }, { signal }),
        );
        return create(ExplainResponseSchema, { explanation: explanation ?? notFound(options, id), instance: decider });
    }
    catch (thrown) {
        const isKnownGap = thrown instanceof ConnectError && thrown.code === Code.NotFound;
        const reason = isKnownGap ? "has no record of it any more" : "does not answer or is gone";
        throw new ConnectError(`instance ${decider}, which decided ${id}, ${reason}${whatSurvives}`, Code.NotFound);
    }
};

interface OtherStatus {
    readonly instance: string;
    readonly status: InstanceStatus | undefined;
}

const statusOfOthers = ({ instance, clock, clients }: OperatorServiceOptions): Promise<readonly OtherStatus[]> =>
    Promise.all((instance.fleet?.members.others ?? []).map(async (member): Promise<OtherStatus> => {
        if (clients === undefined) {
            return { instance: member.instance, status: undefined };
        }
        try {
            const response = await callWithTimeout(
                clock,
                peerTimeoutMs,
                signal => clients.to(member).statusLocal({}, { signal }),
            );
            return { instance: member.instance, status: response.status };
        }
        catch {
            return { instance: member.instance, status: undefined };
        }
    }));

/** Tells the state of this instance. */
export const toStatus = (
    { instance, availabilityZone, requestsInFlight, platformAgeMs }: OperatorServiceOptions,
): InstanceStatus =>
    create(InstanceStatusSchema, {
        instance: instance.id,
        availabilityZone,
        version,
        state: instance.stage,
        generation: BigInt(instance.generation ?? 0),
        configurationHash: instance.configuration?.hash ?? "",
        uptimeMs: process.uptime() * 1000,
        requestsInFlight: requestsInFlight(),
        upstreams: instance.services.all().flatMap(runtime => toUpstreamStatuses(instance, runtime)),
        platformAgeMs: platformAgeMs(),
        records: instance.explanations.entries,
        recordBytes: instance.explanations.bytes,
        zonesOut: [...instance.directory.zonesOutOfService],
    });

const toUpstreamStatuses = (instance: Instance, runtime: ServiceRuntime): readonly UpstreamStatus[] =>
    runtime.tracker.facts().map(facts =>
        create(UpstreamStatusSchema, {
            service: runtime.name,
            facts: toCandidate(facts),
            why: whyOf(facts, limitOf(instance, runtime, facts)),
        })
    );

const limitOf = ({ limits }: Instance, { tracker: beliefs }: ServiceRuntime, { id }: UpstreamFacts): StoredLimit | undefined => {
    const upstream = beliefs.find(upstreamId(id));
    return upstream === undefined ? undefined : limits.find(upstream);
};

/** Says in a few words why an upstream is in its state. */
const whyOf = (facts: UpstreamFacts, limit: StoredLimit | undefined): string => {
    const resting = facts.restMs > 0 && facts.state !== "draining"
        ? [`asked this instance for a rest, ${Math.ceil(facts.restMs)} ms are left`]
        : [];
    return [...resting, ...limit === undefined ? [] : [limitText(facts, limit)], whyInState(facts)].filter(Boolean).join("; ");
};

/** Says to what an upstream is limited, by whose word and since when, and what of it is left to this instance. */
const limitText = ({ shareGapMs, shareInMs }: UpstreamFacts, { perSecond, heardBy, sinceUnixMs }: StoredLimit): string =>
    `takes ${perSecond} a second from all instances, by its word to ${heardBy}, since ${new Date(sinceUnixMs).toISOString()}; `
    + `this instance may send one every ${Math.ceil(shareGapMs)} ms, the next in ${Math.ceil(shareInMs)} ms`;

const whyInState = (facts: UpstreamFacts): string => {
    switch (facts.state) {
        case "ready":
            return "";
        case "cold":
            return "has just started or come back";
        case "suspect":
            return "failed lately; a few requests try it";
        case "ejected":
            return `failed too often (${(facts.failureRate * 100).toFixed(0)} % lately)`;
        case "draining":
            return "leaves, by its own word, the list's or another instance's";
    }
};
