/**
 * Selection of readers, which read the platform, and of relays, which forward changes within their availability zone. They
 * keep the number of calls to the platform and the load of each instance independent of the size of the fleet.
 *
 * Every instance selects them independently from the members that it considers eligible. An instance that is polled in a
 * role takes that role, so differing selections add readers or relays for a while, but never leave the fleet without one.
 *
 * @packageDocumentation
 */

import { rendezvousOrder } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";

/**
 * Instances of one availability zone per relay. Each polls twice a second while changes keep coming, and a response takes some
 * 4 ms of a core, so the responses take a tenth of a core at most.
 */
const instancesPerRelay = 12;

/** Relays per reader; readers notify them at most twice a second, too. */
const relaysPerReader = 64;

/** Minimum number of readers in a fleet of more than {@link singleReaderSize} members, so that one may fail. */
const minimumReaders = 2;

/** Number of members up to which there is one reader; in such a fleet all instances detect its failure at once. */
const singleReaderSize = 6;

/** Readers that each relay polls. */
export const readersPerRelay = 2;

/**
 * Selects the readers of the fleet.
 *
 * @param eligible - Members that are alive, responsive and able to reach the platform.
 */
export const selectReaders = (eligible: readonly Member[]): readonly Member[] => {
    const count = eligible.length <= singleReaderSize
        ? 1
        : Math.max(minimumReaders, Math.ceil(eligible.length / (instancesPerRelay * relaysPerReader)));
    return rendezvousOrder("readers", eligible, idOf).slice(0, count);
};

/**
 * Selects the relays of an availability zone; readers in the zone come first, because their changes cross no zone.
 *
 * @param zone - The availability zone.
 * @param eligible - Members that are alive and responsive.
 * @param readers - The readers of the fleet.
 */
export const selectRelays = (zone: string, eligible: readonly Member[], readers: readonly Member[]): readonly Member[] => {
    const inZone = eligible.filter(member => member.availabilityZone === zone);
    const isReader = (member: Member): boolean => readers.some(({ instance }) => instance === member.instance);
    const others = rendezvousOrder("relays", inZone.filter(member => !isReader(member)), idOf);
    return [...inZone.filter(isReader), ...others].slice(0, Math.ceil(inZone.length / instancesPerRelay));
};

const idOf = ({ instance }: Member): string => instance;
