/**
 * The RPC services of a daemon. This module is loaded at the first call only.
 *
 * @packageDocumentation
 */

import { connectNodeAdapter } from "@connectrpc/connect-node";
import { peerService, type PeerServiceOptions } from "@harrierhitch/fleet";
import { OperatorService, PeerService } from "@harrierhitch/protocol";
import { explainLocally, operatorService, type OperatorServiceOptions, toStatus } from "../operators/operator-service.js";
import type { Listener } from "./rpc-server.js";

/** Largest message that is read: a document of a megabyte and what goes with it. */
const maximumMessageBytes = 2 * 1024 * 1024;

/** Makes the handler of operators' calls. */
export const operatorsListener = (options: OperatorServiceOptions): Listener =>
    connectNodeAdapter({
        routes: router => router.service(OperatorService, operatorService(options)),
        readMaxBytes: maximumMessageBytes,
    });

/** Options of {@link peersListener}. */
export interface PeersListenerOptions extends Omit<PeerServiceOptions, "explain" | "status"> {
    readonly operators: OperatorServiceOptions;
}

/** Makes the handler of other instances' calls. */
export const peersListener = ({ operators, ...options }: PeersListenerOptions): Listener => {
    const service = peerService({
        ...options,
        explain: id => explainLocally(operators.instance, id),
        status: () => toStatus(operators),
    });
    return connectNodeAdapter({
        routes: router => router.service(PeerService, service),
        readMaxBytes: maximumMessageBytes,
    });
};
