/**
 * Common steps of the tests of a fleet that watches a platform store.
 */

import type { PlatformLink } from "../../src/platform/platform-link.js";
import { StoreFleet } from "./store-fleet.js";

/** Staleness that no instance may exceed, in milliseconds. */
const maximumStalenessMs = 3000;

/** Age of a change at which it has to be applied everywhere, in milliseconds; leaves time for requests in transit. */
const checkedStalenessMs = maximumStalenessMs - 200;

/** Starts instances at about the same time; `injectFault` breaks the link of each. */
export const startFleet = (
    count: number,
    { seed = 1, injectFault }: { readonly seed?: number; readonly injectFault?: (link: PlatformLink) => void; } = {},
): StoreFleet => {
    const fleet = new StoreFleet(seed, maximumStalenessMs, injectFault);
    Array.from({ length: count }, (_, id) => {
        fleet.clock.after(fleet.random.next() * 300, () => fleet.start(id));
    });
    return fleet;
};

/** Sends callers to every instance. */
export const enableCallers = (fleet: StoreFleet): void =>
    fleet.instances.forEach(running => {
        running.hasCallers = true;
    });

/** Returns the instances that consider themselves readers of the store. */
export const currentReaders = (fleet: StoreFleet): readonly number[] =>
    [...fleet.instances.values()].filter(running => running.fleet?.roles.isReader).map(({ id }) => id);

/** Advances the clock while changes are published, and returns the instances that were too stale at any step. */
export const advanceAndPublish = async (fleet: StoreFleet, seconds: number, changes: number): Promise<readonly number[]> => {
    const stale = new Set<number>();
    for (let step = 0; step < seconds * 10; step += 1) {
        if (changes > 0 && step % Math.ceil(seconds * 10 / changes) === 5) {
            fleet.publish();
        }
        await fleet.clock.advance(100);
        fleet.staleInstances(checkedStalenessMs).forEach(id => stale.add(id));
    }
    return [...stale];
};
