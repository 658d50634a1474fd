/**
 * Division of the probe budget of an upstream between the instances that send it most of its requests and the others.
 *
 * @packageDocumentation
 */

import type { Configuration, Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { Fleet } from "@harrierhitch/fleet";
import type { InstanceBudgets } from "./instance-budgets.js";

/** What the division depends on. */
export interface ZoneProbeRatesInput {
    readonly configuration: Pick<Configuration, "routes">;
    /** This instance's even share. */
    readonly budgets: Pick<InstanceBudgets, "probesPerSecond" | "instances">;
    /** The fleet; `undefined` if standalone. */
    readonly members: Pick<Fleet["members"], "possibleSize" | "possibleSizeOf"> | undefined;
    /** Zone of this instance. */
    readonly availabilityZone: string;
    /** The upstreams of each service that are in service. */
    readonly services: readonly (readonly Pick<Upstream, "id" | "availabilityZone">[])[];
}

/**
 * Fraction of an upstream's budget for the instances that send it nearly all of its requests: those of its zone, and those of zones
 * without an upstream of its service.
 */
const primaryFraction = 0.8;

/**
 * Returns this instance's rate of probes for each upstream if any route places requests by zone. Without such a route the result is
 * empty, and the even share applies, because upstreams of all zones are then probed equally often.
 *
 * The rates of all instances for one upstream add up to its budget at most.
 *
 * @param input - The fleet and the upstreams.
 * @returns Probes per second by upstream.
 */
export const zoneProbeRates = (input: ZoneProbeRatesInput): ReadonlyMap<UpstreamId, number> =>
    input.members === undefined || !placesByZone(input.configuration)
        ? new Map()
        : new Map(input.services.flatMap(upstreams => ratesOfService(input, input.members, upstreams)));

const ratesOfService = (
    { budgets: { probesPerSecond, instances }, availabilityZone }: ZoneProbeRatesInput,
    members: ZoneProbeRatesInput["members"],
    upstreams: readonly Pick<Upstream, "id" | "availabilityZone">[],
): readonly (readonly [UpstreamId, number])[] => {
    const sizeOf = (zone: string): number => members?.possibleSizeOf(zone) ?? 0;
    const zones = [...new Set(upstreams.map(upstream => upstream.availabilityZone))];
    // Instances of zones without an upstream, and those that were not discovered yet and may belong to such a zone.
    const instancesWithout = instances - zones.reduce((sum, zone) => sum + sizeOf(zone), 0);
    const isWithout = !zones.includes(availabilityZone);
    const rates = new Map(zones.map(zone => {
        const isPrimary = isWithout || zone === availabilityZone;
        const primaryInstances = Math.max(1, sizeOf(zone) + instancesWithout);
        const primaryRate = probesPerSecond * instances * primaryFraction / primaryInstances;
        return [zone, isPrimary ? primaryRate : probesPerSecond * (1 - primaryFraction)] as const;
    }));
    return upstreams.map(upstream => [upstream.id, rates.get(upstream.availabilityZone) ?? 0]);
};

const placesByZone = ({ routes }: Pick<Configuration, "routes">): boolean =>
    routes.some(({ destinations }) => destinations.some(({ route }) => route.policy.zonePlacement !== "any"));
