/**
 * Routes as configured.
 *
 * @packageDocumentation
 */

import type { ConfigurationValues } from "./configuration-schema.js";
import type { ServicePolicy } from "./service-policy.js";
import type { Service } from "./service.js";

/** A kind of request. */
export type RequestKind = Omit<ConfigurationValues["kind"][string], "policy"> & { readonly name: string; };

/** A route to one service. */
export interface Route {
    readonly name: string;
    readonly method: ConfigurationValues["route"][string]["method"];
    readonly path: string;
    readonly service: Service;
    readonly kind: RequestKind;
    /** The policy that decides: the kind's, or else the service's. */
    readonly policy: ServicePolicy;
}

/** One of the services of a route. */
export interface WeightedRoute {
    readonly weight: number;
    readonly route: Route;
}

/** A route as requests are matched to it, with one service or several that share its requests. */
export interface RouteGroup {
    readonly name: string;
    readonly method: Route["method"];
    /** Host in lower case; empty for every host. */
    readonly host: string;
    readonly path: string;
    /** At least one. */
    readonly destinations: readonly WeightedRoute[];
}

/**
 * Picks the service of one request.
 *
 * @param group - The route that matched.
 * @param draw - A number of at least 0 and below 1; evenly spread draws give each service its share.
 * @returns The route to that service; `undefined` when every weight is 0.
 */
export const selectRoute = ({ destinations: choices }: RouteGroup, draw: number): Route | undefined => {
    const total = choices.reduce((sum, choice) => sum + choice.weight, 0);
    let left = draw * total;
    return choices.find(choice => (left -= choice.weight) < 0)?.route;
};
