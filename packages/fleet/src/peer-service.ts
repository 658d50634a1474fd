/**
 * What this instance answers to other instances.
 *
 * @packageDocumentation
 */

import { Code, ConnectError, type ServiceImpl } from "@connectrpc/connect";
import type { Explanation, InstanceStatus, PeerService } from "@harrierhitch/protocol";
import type { Fleet } from "./fleet.js";

/** Options of {@link peerService}. */
export interface PeerServiceOptions {
    readonly fleetName: string;
    readonly fleet: Fleet;
    /** Explains a request that this instance decided. */
    readonly explain: (requestId: string) => Explanation | undefined;
    readonly status: () => InstanceStatus;
    /** Told of a caller that was refused. */
    readonly onRejected: (reason: string) => void;
}

/** Most members and observations in one message. */
const maximumItems = 1024;

/** Most listings in one message: a fleet's upstreams, with room for those that were replaced lately. */
const maximumListings = 50_000;

/** Implements the service that instances offer each other. */
export const peerService = (options: PeerServiceOptions): ServiceImpl<typeof PeerService> => {
    const { fleet } = options;
    const admit = (fleetName: string): void => {
        if (fleetName !== options.fleetName) {
            options.onRejected(`fleet ${fleetName.slice(0, 64)}`);
            throw new ConnectError("this instance belongs to another fleet", Code.PermissionDenied);
        }
    };
    const bounded = (isBounded: boolean, what: string): void => {
        if (!isBounded) {
            options.onRejected(what);
            throw new ConnectError(`${what} is over the limit`, Code.InvalidArgument);
        }
    };
    return {
        exchange: request => {
            admit(request.fleet);
            bounded(request.members.length <= maximumItems && request.observations.length <= maximumItems, "the number of items");
            bounded(Math.max(request.endedRuns.length, request.withheld.length) <= maximumItems, "the number of runs");
            bounded((request.directory?.listings.length ?? 0) <= maximumListings, "the number of listings");
            return fleet.exchange.respond(request);
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
