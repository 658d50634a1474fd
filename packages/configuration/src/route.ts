/**
 * Routes of the configuration.
 *
 * @packageDocumentation
 */

import type { ConfigurationValues } from "./configuration-schema.js";
import type { ServicePolicy } from "./service-policy.js";
import type { Service } from "./service.js";

/** A configured kind of request with its timeouts, priority and weight. */
export type RequestKind = Omit<ConfigurationValues["kind"][string], "policy"> & { readonly name: string; };

/** A route to one service. */
export interface Route {
    readonly name: string;
    readonly method: ConfigurationValues["route"][string]["method"];
    readonly path: string;
    readonly service: Service;
    readonly kind: RequestKind;
    /** Policy of the request kind, or of the service if the kind has none. */
    readonly policy: ServicePolicy;
}

/** A destination of a route group with its share of the requests. */
export interface WeightedRoute {
    readonly weight: number;
    readonly route: Route;
}

/** A configured route that requests are matched against, with one or more destination services. */
export interface RouteGroup {
    readonly name: string;
    readonly method: Route["method"];
    /** Host in lower case; empty to match every host. */
    readonly host: string;
    readonly path: string;
    /** Destination services with their weights; at least one. */
    readonly destinations: readonly WeightedRoute[];
}

/**
 * Selects the destination of a request by weight.
 *
 * @param group - The route group that matched.
 * @param sample - Number in the range [0, 1); uniformly distributed samples select destinations in proportion to weight.
 * @returns The route to the selected service, or `undefined` if all weights are 0.
 */
export const selectRoute = ({ destinations }: RouteGroup, sample: number): Route | undefined => {
    const totalWeight = destinations.reduce((sum, destination) => sum + destination.weight, 0);
    let remainingWeight = sample * totalWeight;
    return destinations.find(destination => (remainingWeight -= destination.weight) < 0)?.route;
};
