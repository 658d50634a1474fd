/**
 * What this instance answers to other instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import { type Clock, sleep } from "@harrierhitch/core";
import {
    type AwaitAnswerRequest,
    type AwaitAnswerResponse,
    AwaitAnswerResponseSchema,
    ClaimResponseSchema,
    type Explanation,
    HeaderSchema,
    type InstanceStatus,
    type PeerService,
    Vote,
} from "@harrierhitch/protocol";
import type { KeyedResult } from "./answer-shelf.js";
import type { Fleet } from "./fleet.js";

/** Options of {@link peerService}. */
export interface PeerServiceOptions {
    readonly clock: Clock;
    readonly fleetName: string;
    readonly fleet: Fleet;
    /** Explains a request that this instance decided. */
    readonly explain: (requestId: string) => Explanation | undefined;
    readonly status: () => InstanceStatus;
    /** Told of a caller that was refused. */
    readonly onRefused: (reason: string) => void;
}

/** Longest key and longest claim id that are taken. */
const maximumKeyLength = 1024;

/** Most members and observations in one message. */
const maximumItems = 1024;

/** Implements the service that instances offer each other. */
export const peerService = (options: PeerServiceOptions): ServiceImpl<typeof PeerService> => {
    const { fleet } = options;
    const admit = (fleetName: string): void => {
        if (fleetName !== options.fleetName) {
            options.onRefused(`fleet ${fleetName.slice(0, 64)}`);
            throw new ConnectError("this instance belongs to another fleet", Code.PermissionDenied);
        }
    };
    const bounded = (isBounded: boolean, what: string): void => {
        if (!isBounded) {
            options.onRefused(what);
            throw new ConnectError(`${what} is over the limit`, Code.InvalidArgument);
        }
    };
    return {
        exchange: request => {
            admit(request.fleet);
            bounded(request.members.length <= maximumItems && request.observations.length <= maximumItems, "the number of items");
            return fleet.exchange.answer(request);
        },
        claim: request => {
            admit(request.fleet);
            bounded((request.holding?.key.length ?? 0) <= maximumKeyLength, "the length of the key");
            return fleet.members.self.leaving
                ? create(ClaimResponseSchema, { vote: Vote.INCOMPLETE })
                : fleet.keeper.vote(request);
        },
        settle: request => {
            admit(request.fleet);
            fleet.keeper.settle(request);
            return {};
        },
        awaitAnswer: async request => {
            admit(request.fleet);
            return await awaitAnswer(options, request);
        },
        syncRecords: request => {
            admit(request.fleet);
            return fleet.keeper.handOver(request);
        },
        explainLocal: request => {
            const explanation = options.explain(request.requestId);
            if (explanation === undefined) {
                throw new ConnectError(`there is no record of ${request.requestId}`, Code.NotFound);
            }
            return { explanation };
        },
        statusLocal: () => ({ status: options.status() }),
    };
};

const awaitAnswer = async ({ clock, fleet }: PeerServiceOptions, request: AwaitAnswerRequest): Promise<AwaitAnswerResponse> => {
    const end = fleet.shelf.endOf(request.key, request.claimId);
    if (end === undefined) {
        return create(AwaitAnswerResponseSchema, { outcome: "unknown" });
    }
    const ending = new AbortController();
    const late = sleep(clock, request.waitMs, ending.signal).then(() => undefined);
    const result = await Promise.race([end, late]);
    ending.abort();
    return result === undefined ? create(AwaitAnswerResponseSchema, {}) : toResponse(result);
};

const toResponse = ({ outcome, answer }: KeyedResult): AwaitAnswerResponse =>
    create(AwaitAnswerResponseSchema, {
        outcome,
        hasAnswer: answer !== undefined,
        status: answer?.status ?? 0,
        headers: answer?.headers.map(([name, value]) => create(HeaderSchema, { name, value })) ?? [],
        body: answer?.body ?? new Uint8Array(),
    });
