/**
 * The RPC service that this instance offers to other instances.
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
    /** Returns the explanation of a request that this instance decided; `undefined` without a record of it. */
    readonly explain: (requestId: string) => Explanation | undefined;
    readonly status: () => InstanceStatus;
    readonly onRejected: (reason: string) => void;
}

/** Maximum number of members, drain messages, crash records and quarantines, each, in one message. */
const maximumItems = 1024;

/** Maximum number of directory entries in one message. */
const maximumEntries = 50_000;

/** Creates the service that instances offer to each other. */
export const peerService = (options: PeerServiceOptions): ServiceImpl<typeof PeerService> => {
    const { fleet } = options;
    const checkFleet = (fleetName: string): void => {
        if (fleetName !== options.fleetName) {
            options.onRejected(`fleet ${fleetName.slice(0, 64)}`);
            throw new ConnectError("this instance belongs to another fleet", Code.PermissionDenied);
        }
    };
    const checkLimit = (isWithinLimit: boolean, name: string): void => {
        if (!isWithinLimit) {
            options.onRejected(name);
            throw new ConnectError(`${name} is over the limit`, Code.InvalidArgument);
        }
    };
    return {
        exchange: request => {
            checkFleet(request.fleet);
            checkLimit(
                request.members.length <= maximumItems && request.observations.length <= maximumItems,
                "the number of items",
            );
            checkLimit(Math.max(request.endedRuns.length, request.withheld.length) <= maximumItems, "the number of runs");
            checkLimit((request.directory?.listings.length ?? 0) <= maximumEntries, "the number of listings");
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
