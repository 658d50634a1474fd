/**
 * Services of the configuration.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@harrierhitch/core";
import type { ConfigurationValues } from "./configuration-schema.js";
import type { ServicePolicy } from "./service-policy.js";
import type { Upstream } from "./upstream.js";

/** A configured service with its policy and its statically configured upstreams. */
export interface Service extends Omit<ConfigurationValues["service"][string], "policy" | "shedStatuses"> {
    readonly name: ServiceName;
    readonly policy: ServicePolicy;
    readonly upstreams: readonly Upstream[];
    readonly shedStatuses: ReadonlySet<number>;
}
