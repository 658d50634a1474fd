/**
 * What every side of an instance that serves calls is made of.
 *
 * @packageDocumentation
 */

import type { Instance } from "../instance.js";
import type { OperatorServiceOptions } from "../operators/operator-service.js";
import type { Metrics } from "../telemetry/metrics.js";

/** Options that the operators' side and the peers' side share. */
export interface RpcEndpointOptions {
    readonly metrics: Metrics;
    readonly instance: Instance;
    readonly serviceOptions: () => OperatorServiceOptions;
    /** Told of a call or connection that was refused. */
    readonly onRefused: (reason: string) => void;
}
