/**
 * Which instances read the platform, and which pass on what they read, so that neither the calls to the platform nor
 * the work of any one instance grow with the fleet.
 *
 * Every instance finds them on its own from the members it believes able. Where what is believed differs, a few more
 * instances read or relay for a while, never none: whoever is asked as a reader or relay is one.
 *
 * @packageDocumentation
 */

import { rendezvousOrder } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";

/**
 * Instances of one availability zone that one relay serves: each asks twice a second while something changes all the
 * time, and an answer takes some 4 ms of a core, so that the answers take a tenth of a core at most.
 */
const instancesPerRelay = 12;

/** Relays that one reader serves: readers tell them twice a second at most as well. */
const relaysPerReader = 64;

/** Readers of a fleet in which not everyone talks to everyone: with two, the loss of one costs nobody a call. */
const minimumReaders = 2;

/** Members up to which one reader will do: everyone talks to everyone there, and notices its loss at once. */
const oneReaderSize = 6;

/** Readers that a relay asks. */
export const readersPerRelay = 2;

/**
 * The readers of the fleet.
 *
 * @param able - Members that live, answer and reach the platform.
 */
export const selectReaders = (able: readonly Member[]): readonly Member[] => {
    const count = able.length <= oneReaderSize
        ? 1
        : Math.max(minimumReaders, Math.ceil(able.length / (instancesPerRelay * relaysPerReader)));
    return rendezvousOrder("readers", able, idOf).slice(0, count);
};

/**
 * The relays of an availability zone: first its readers, since what they tell crosses no zone.
 *
 * @param zone - The availability zone.
 * @param able - Members that live and answer.
 * @param readers - The readers of the fleet.
 */
export const selectRelays = (zone: string, able: readonly Member[], readers: readonly Member[]): readonly Member[] => {
    const inside = able.filter(member => member.availabilityZone === zone);
    const isReader = (member: Member): boolean => readers.some(({ instance }) => instance === member.instance);
    const others = rendezvousOrder("relays", inside.filter(member => !isReader(member)), idOf);
    return [...inside.filter(isReader), ...others].slice(0, Math.ceil(inside.length / instancesPerRelay));
};

const idOf = ({ instance }: Member): string => instance;
