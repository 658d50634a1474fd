/**
 * Options shared by the RPC endpoints.
 *
 * @packageDocumentation
 */

import type { Instance } from "../instance.js";
import type { OperatorServiceOptions } from "../operators/operator-service.js";
import type { Metrics } from "../telemetry/metrics.js";

/** Options that the operators' and the peers' endpoint share. */
export interface RpcEndpointOptions {
    readonly metrics: Metrics;
    readonly instance: Instance;
    readonly serviceOptions: () => OperatorServiceOptions;
    /** Called when a call or connection was refused. */
    readonly onRefused: (reason: string) => void;
}
