/**
 * What happens to a fleet that follows a store: a start, callers, changes that are published.
 */

import type { PlatformLink } from "../../src/platform/platform-link.js";
import { StoreFleet } from "./store-fleet.js";

/** The bound that the fleet has to keep. */
const boundMs = 3000;

/** Time after which a change that was published is in use everywhere in time: the rest is for what is on its way then. */
const knownMs = boundMs - 200;

/** Starts a number of instances together. */
export const startAll = (
    count: number,
    { seed = 1, breaks }: { readonly seed?: number; readonly breaks?: (link: PlatformLink) => void; } = {},
): StoreFleet => {
    const fleet = new StoreFleet(seed, boundMs, breaks);
    Array.from({ length: count }, (_, id) => {
        fleet.clock.after(fleet.random.next() * 300, () => fleet.start(id));
    });
    return fleet;
};

/** Lets callers come to every instance. */
export const bringCallers = (fleet: StoreFleet): void =>
    fleet.instances.forEach(running => {
        running.hasCallers = true;
    });

/** The instances that read the store, by their own view. */
export const readersAmong = (fleet: StoreFleet): readonly number[] =>
    [...fleet.instances.values()].filter(running => running.fleet?.roles.isReader).map(({ id }) => id);

/** Lets time pass, and changes be published; gives the instances that were behind by more than the bound at some moment. */
export const pass = async (fleet: StoreFleet, seconds: number, changes: number): Promise<readonly number[]> => {
    const behind = new Set<number>();
    for (let step = 0; step < seconds * 10; step += 1) {
        if (changes > 0 && step % Math.ceil(seconds * 10 / changes) === 5) {
            fleet.publish();
        }
        await fleet.clock.advance(100);
        fleet.behindBy(knownMs).forEach(id => behind.add(id));
    }
    return [...behind];
};
