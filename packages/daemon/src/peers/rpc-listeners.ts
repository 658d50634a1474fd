/**
 * HTTP listeners of the RPC services; loaded at the first call.
 *
 * @packageDocumentation
 */

import { connectNodeAdapter } from "@connectrpc/connect-node";
import { peerService, type PeerServiceOptions } from "@harrierhitch/fleet";
import { OperatorService, PeerService } from "@harrierhitch/protocol";
import { explainLocally, operatorService, type OperatorServiceOptions, toStatus } from "../operators/operator-service.js";
import type { Listener } from "./rpc-server.js";

/** Maximum size of a received message; allows for a document of 1 MiB and its envelope. */
const maximumMessageBytes = 2 * 1024 * 1024;

/** Creates the listener for operators' calls. */
export const operatorsListener = (options: OperatorServiceOptions): Listener =>
    connectNodeAdapter({
        routes: router => router.service(OperatorService, operatorService(options)),
        readMaxBytes: maximumMessageBytes,
    });

/** Options of {@link peersListener}. */
export interface PeersListenerOptions extends Omit<PeerServiceOptions, "explain" | "status"> {
    readonly operators: OperatorServiceOptions;
}

/** Creates the listener for other instances' calls. */
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
