/**
 * The part of a route that decision records keep.
 *
 * @packageDocumentation
 */

import type { Route, ServicePolicy } from "@harrierhitch/configuration";
import type { ServiceName } from "@harrierhitch/core";
import type { PolicySource } from "@harrierhitch/policy";

/** A policy in a record: its text and parameters, without the compiled clauses. */
export interface RecordedPolicy
    extends Pick<ServicePolicy, "chooser" | "refuseRetryAfterMs" | "refuseRetryAfterPercent" | "retryAfter" | "zonePlacement"> {
    readonly source: PolicySource;
}

/** A route in a record: names and its policy, shared by all records of the route. */
export interface RecordedRoute extends Pick<Route, "name" | "method" | "path"> {
    readonly service: ServiceName;
    /** Name of the request kind. */
    readonly kind: string;
    readonly policy: RecordedPolicy;
}

const recordedPolicies = new WeakMap<ServicePolicy, RecordedPolicy>();
const recordedRoutes = new WeakMap<Route, RecordedRoute>();

/** Returns what records keep of a policy; always the same object for the same policy. */
const recordedPolicyOf = (servicePolicy: ServicePolicy): RecordedPolicy => {
    const known = recordedPolicies.get(servicePolicy);
    if (known !== undefined) {
        return known;
    }
    const { policy: { source }, chooser, refuseRetryAfterMs, refuseRetryAfterPercent, retryAfter, zonePlacement } = servicePolicy;
    const recorded = { source, chooser, refuseRetryAfterMs, refuseRetryAfterPercent, retryAfter, zonePlacement };
    recordedPolicies.set(servicePolicy, recorded);
    return recorded;
};

/** Returns what records keep of a route; always the same object for the same route. */
export const recordedRouteOf = (route: Route): RecordedRoute => {
    const known = recordedRoutes.get(route);
    if (known !== undefined) {
        return known;
    }
    const { name, method, path, service, kind, policy } = route;
    const recorded = { name, method, path, service: service.name, kind: kind.name, policy: recordedPolicyOf(policy) };
    recordedRoutes.set(route, recorded);
    return recorded;
};
