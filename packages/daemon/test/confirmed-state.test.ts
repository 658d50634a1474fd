/**
 * Guards against instances that take their state to be complete as of a time after which they lack a change, because a message counts
 * as younger than it is.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createDocument, createRoutes } from "./model/large-configuration.js";
import { StoreFleet } from "./model/store-fleet.js";

const stepMs = 20;
const seconds = 30;

/** Longest mean time that a message waits on its way, or for the processor, in milliseconds. */
const maximumWaitMs = 1500;

interface Publisher {
    readonly fleet: StoreFleet;
    readonly random: SeededRandom;
    readonly routes: string[];
    published: number;
}

/** Publishes a change of the directory, of one route, or of most of the configuration. */
const publish = (publisher: Publisher): void => {
    const { fleet, random, routes } = publisher;
    const kind = random.next();
    if (kind < 0.5) {
        fleet.publish();
        return;
    }
    const changed = kind < 0.8 ? 1 : 300;
    routes.splice(Math.floor(random.next() * (routes.length - changed)), changed, ...createRoutes(changed, random));
    publisher.published += 1;
    fleet.publish(createDocument(publisher.published, routes));
};

/** Changes the delays of one instance, the speed of all links, or which instances the store serves. */
const disturb = (fleet: StoreFleet, random: SeededRandom, size: number): void => {
    const id = Math.floor(random.next() * size);
    const waitMs = random.next() < 0.3 ? 0 : random.next() * maximumWaitMs;
    const actions = [
        () => fleet.wayMs.set(id, waitMs),
        () => fleet.wayMs.set(id, waitMs),
        () => fleet.wayMs.set(id, waitMs),
        () => fleet.busyMs.set(id, waitMs),
        () => {
            fleet.linkBytesPerMs = random.next() < 0.3 ? Infinity : 200 + random.next() * 1000;
        },
        () => random.next() < 0.5 ? fleet.rejected.add(id) : fleet.rejected.clear(),
        () => {
            fleet.isDown = random.next() < 0.3;
            fleet.isSilent = random.next() < 0.5;
        },
        () => fleet.start(id),
    ];
    actions[Math.floor(random.next() * actions.length)]!();
};

/** Runs a fleet under random changes and delays; returns what instances were mistaken about, and when. */
const run = async (size: number, seed: number): Promise<readonly string[]> => {
    const random = new SeededRandom(seed);
    const fleet = new StoreFleet(seed, 2500);
    const publisher: Publisher = { fleet, random, routes: createRoutes(400, random), published: 0 };
    fleet.publish(createDocument(0, publisher.routes));
    Array.from({ length: size }, (_, id) => fleet.clock.after(random.next() * 300, () => fleet.start(id)));
    const mistakes: string[] = [];
    for (let step = 0; step < seconds * 1000 / stepMs; step += 1) {
        await fleet.clock.advance(stepMs);
        fleet.instances.forEach(instance => {
            instance.hasCallers = true;
        });
        if (random.next() < 0.02) {
            publish(publisher);
        }
        if (random.next() < 0.1) {
            disturb(fleet, random, size);
        }
        fleet.mistakenInstances.forEach(id => mistakes.push(`instance ${id} after ${step * stepMs} ms`));
    }
    fleet.stop();
    return mistakes;
};

describe("no instance takes its state to be complete as of a time after which it lacks a change", () => {
    [1, 3, 12, 30].forEach(size => {
        [1, 2, 3, 4, 5].forEach(seed => {
            test(`under random changes and delays (${size} instances, seed ${seed})`, async () => {
                const mistakes = await run(size, seed);
                assert.deepEqual(mistakes.slice(0, 5), [], `${mistakes.length} times`);
            });
        });
    });
});
