/**
 * Implements the operators' RPC service.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { formatFinding } from "@harrierhitch/configuration";
import { type Clock, requestId, upstreamId } from "@harrierhitch/core";
import { isMisdirected, type StoredLimit, type UpstreamEstimate } from "@harrierhitch/decision";
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
    /** Clients of other instances; `undefined` for a standalone instance. */
    readonly clients: PeerClients | undefined;
    readonly availabilityZone: string;
    readonly requestsInFlight: () => number;
    /** Milliseconds since the platform's last response; negative if there was none. */
    readonly platformAgeMs: () => number;
    /** Starts a planned stop and returns the milliseconds until the callers' port closes. */
    readonly drain: () => number;
}

/** Timeout of calls to other instances, in milliseconds. */
const peerTimeoutMs = 1000;

/** Findings of a rejected configuration that a status contains; the log has all. */
const maximumFindings = 5;

/** Creates the operators' service. */
export const operatorService = (options: OperatorServiceOptions): ServiceImpl<typeof OperatorService> => ({
    explain: async request => {
        const explanation = explainLocally(options.instance, request.requestId);
        return explanation === undefined && !request.localOnly
            ? await explainRemotely(options, request.requestId)
            : create(ExplainResponseSchema, {
                explanation: explanation ?? notFound(options, request.requestId),
                instance: options.instance.id,
            });
    },
    getStatus: async request => {
        const peerStatuses = request.localOnly ? [] : await fetchPeerStatuses(options);
        return create(GetStatusResponseSchema, {
            instances: [toStatus(options), ...peerStatuses.flatMap(peerStatus => peerStatus.status ?? [])],
            unreachable: peerStatuses.filter(peerStatus => peerStatus.status === undefined).map(peerStatus =>
                peerStatus.instance
            ),
        });
    },
    drain: () => ({ closesInMs: options.drain() }),
});

/** Explains a request that this instance decided; `undefined` if there is no record of it. */
export const explainLocally = (instance: Instance, id: string): Explanation | undefined => {
    const record = instance.explanations.find(requestId(id));
    return record && toExplanation(record);
};

const notFound = ({ instance }: OperatorServiceOptions, id: string): never => {
    throw new ConnectError(`instance ${instance.id} has no record of ${id}`, Code.NotFound);
};

/** What remains available when the deciding instance has no record or does not respond. */
const remainingSources = "; what survives is the header x-harrierhitch-decision of the answer and the trace";

const explainRemotely = async (options: OperatorServiceOptions, id: string): Promise<ExplainResponse> => {
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
        const isRecordMissing = thrown instanceof ConnectError && thrown.code === Code.NotFound;
        const reason = isRecordMissing ? "has no record of it any more" : "does not answer or is gone";
        throw new ConnectError(`instance ${decider}, which decided ${id}, ${reason}${remainingSources}`, Code.NotFound);
    }
};

interface PeerStatus {
    readonly instance: string;
    readonly status: InstanceStatus | undefined;
}

const fetchPeerStatuses = ({ instance, clock, clients }: OperatorServiceOptions): Promise<readonly PeerStatus[]> =>
    Promise.all((instance.fleet?.members.others ?? []).map(async (member): Promise<PeerStatus> => {
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

/** Returns the status of this instance. */
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
        rejectionFindings: instance.activeConfiguration.rejection?.findings.slice(0, maximumFindings).map(formatFinding) ?? [],
    });

const toUpstreamStatuses = (instance: Instance, runtime: ServiceRuntime): readonly UpstreamStatus[] =>
    runtime.tracker.facts().map(facts =>
        create(UpstreamStatusSchema, {
            service: runtime.name,
            facts: toCandidate(facts),
            why: describeState(facts, limitOf(instance, runtime, facts), runtime.tracker.estimateOf(upstreamId(facts.id))),
        })
    );

const limitOf = ({ limits }: Instance, { tracker }: ServiceRuntime, { id }: UpstreamFacts): StoredLimit | undefined => {
    const upstream = tracker.find(upstreamId(id));
    return upstream === undefined ? undefined : limits.find(upstream);
};

/** Describes why an upstream is in its state. */
const describeState = (facts: UpstreamFacts, limit: StoredLimit | undefined, estimate: UpstreamEstimate | undefined): string => {
    const backoff = facts.restMs > 0 && facts.state !== "draining"
        ? [`asked this instance for a rest, ${Math.ceil(facts.restMs)} ms are left`]
        : [];
    const reason = estimate !== undefined && isMisdirected(estimate)
        ? "another server responded at its address"
        : stateReason(facts);
    return [...backoff, ...limit === undefined ? [] : [describeLimit(facts, limit)], reason].filter(Boolean).join("; ");
};

/** Describes an upstream's rate limit, its origin, and this instance's share of it. */
const describeLimit = (
    { shareGapMs, shareInMs }: UpstreamFacts,
    { perSecond, heardBy: receivedBy, sinceUnixMs }: StoredLimit,
): string =>
    `takes ${perSecond} a second from all instances, by its word to ${receivedBy}, since ${new Date(sinceUnixMs).toISOString()}; `
    + `this instance may send one every ${Math.ceil(shareGapMs)} ms, the next in ${Math.ceil(shareInMs)} ms`;

const stateReason = (facts: UpstreamFacts): string => {
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
