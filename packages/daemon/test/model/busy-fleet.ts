/**
 * Steps of the tests of instances that read every message late, because they lack processor time or because it waits on its way.
 */

import type { Fleet } from "@harrierhitch/fleet";
import { createDocument, createRoutes } from "./large-configuration.js";
import { StoreFleet } from "./store-fleet.js";

/** Time after which no request may be routed by state that lacks a published change, in milliseconds. */
export const boundMs = 2500;

const stepMs = 25;

/** Interval between two requests to the same instance, in milliseconds. */
const requestIntervalMs = 100;

/** A fleet, and the mean time until its instances read a message. */
export interface BusyFleetCase {
    readonly size: number;
    readonly busyMs: number;
    readonly seed: number;
    /** Whether only readers and relays read messages late; all instances by default. */
    readonly areOnlyDistributorsBusy?: boolean;
    /** Whether messages wait on their way, which the instances cannot tell, and not for the processor. */
    readonly isOnTheWay?: boolean;
    /** Bytes per millisecond that the link of each instance takes; infinite by default. With it, each change is a large document. */
    readonly linkBytesPerMs?: number;
}

/** What became of the requests. */
export interface BusyFleetResult {
    readonly requests: number;
    /** Requests that were routed by state beyond the bound. */
    readonly stale: number;
    readonly rejected: number;
    /** Longest time until a request was routed or rejected, in milliseconds. */
    readonly longestMs: number;
    /** Calls to the store while changes were published. */
    readonly calls: number;
    /** Number of times that an instance got a change after the bound. */
    readonly lateArrivals: number;
}

const isDistributor = ({ fleet }: { readonly fleet: Fleet | undefined; }): boolean =>
    fleet !== undefined && (fleet.roles.isReader || fleet.roles.isRelay);

/** Starts instances with callers that read messages late from then on. */
export const startBusyFleet = async (busyCase: BusyFleetCase): Promise<StoreFleet> => {
    const { size, busyMs, seed, areOnlyDistributorsBusy = false, isOnTheWay = false, linkBytesPerMs = Infinity } = busyCase;
    const fleet = new StoreFleet(seed, boundMs);
    Array.from({ length: size }, (_, id) => fleet.clock.after(fleet.random.next() * 300, () => fleet.start(id)));
    fleet.publish();
    await fleet.clock.advance(9000);
    fleet.instances.forEach(instance => {
        instance.hasCallers = true;
    });
    await fleet.clock.advance(2000);
    [...fleet.instances.values()]
        .filter(instance => !areOnlyDistributorsBusy || isDistributor(instance))
        .forEach(({ id }) => (isOnTheWay ? fleet.wayMs : fleet.busyMs).set(id, busyMs));
    fleet.linkBytesPerMs = linkBytesPerMs;
    return fleet;
};

/** Returns the documents to publish on links of limited speed: one route of 1,760 changes each time. */
const createDocuments = (fleet: StoreFleet): () => string | undefined => {
    if (fleet.linkBytesPerMs === Infinity) {
        return () => undefined;
    }
    const routes = createRoutes(1760, fleet.random);
    let published = 0;
    return () => {
        published += 1;
        return createDocument(
            published,
            routes.map((route, index) => index === published ? route.replace("1200", "1300") : route),
        );
    };
};

/** Sends requests to all instances for some seconds while changes are published. */
export const runBusyFleet = async (fleet: StoreFleet, seconds: number, changes: number): Promise<BusyFleetResult> => {
    const ends: { readonly result: string; readonly durationMs: number; }[] = [];
    let requests = 0;
    let lateArrivals = 0;
    const late = new Set<number>();
    const callsBefore = fleet.calls;
    const send = async (id: number): Promise<void> => {
        const sentAtMs = fleet.clock.nowMs();
        requests += 1;
        const result = await fleet.request(id, boundMs);
        ends.push({ result, durationMs: fleet.clock.nowMs() - sentAtMs });
    };
    const steps = seconds * 1000 / stepMs;
    const nextDocument = createDocuments(fleet);
    for (let step = 0; step < steps; step += 1) {
        if (step % Math.ceil(steps / changes) === 20) {
            fleet.publish(nextDocument());
        }
        await fleet.clock.advance(stepMs);
        const behind = fleet.staleInstances(boundMs);
        lateArrivals += behind.filter(id => !late.has(id)).length;
        late.clear();
        behind.forEach(id => late.add(id));
        // Each instance gets a request per interval, spread over the steps.
        const turns = requestIntervalMs / stepMs;
        [...fleet.instances.keys()].filter(id => id % turns === step % turns).forEach(id => void send(id));
    }
    const calls = Math.round(fleet.calls - callsBefore);
    await fleet.clock.advance(boundMs);
    return {
        requests,
        stale: ends.filter(({ result }) => result === "stale").length,
        rejected: ends.filter(({ result }) => result === "rejected").length,
        longestMs: Math.max(...ends.map(({ durationMs }) => durationMs)),
        calls,
        lateArrivals,
    };
};
