/**
 * The seeds, which an instance contacts to discover the other members.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import type { PeerAddress } from "./peer-clients.js";

/** Options of {@link Seeds}. */
export interface SeedsOptions {
    readonly random: RandomSource;
    /** Address of this instance, which is excluded from the seeds. */
    readonly self: PeerAddress;
    readonly addresses: readonly PeerAddress[];
}

/** Stores the addresses of the seeds; a seed may be unreachable. */
export class Seeds {
    private addresses: readonly PeerAddress[] = [];
    private isSeed = false;

    /** @param options - The initial seeds. */
    constructor(private readonly options: SeedsOptions) {
        this.replace(options.addresses);
    }

    /** Without this instance. */
    get all(): readonly PeerAddress[] {
        return this.addresses;
    }

    get includesSelf(): boolean {
        return this.isSeed;
    }

    replace(addresses: readonly PeerAddress[]): void {
        this.isSeed = addresses.some(address => isSameAddress(address, this.options.self));
        this.addresses = addresses.filter(address => !isSameAddress(address, this.options.self));
    }

    /** Returns a random seed that is none of the given instances; `undefined` if there is none. */
    pickExcept(excluded: readonly PeerAddress[]): PeerAddress | undefined {
        const candidates = this.addresses.filter(address => !excluded.some(other => isSameAddress(address, other)));
        return candidates[Math.floor(this.options.random.next() * candidates.length)];
    }
}

const isSameAddress = (a: PeerAddress, b: PeerAddress): boolean => a.address === b.address && a.port === b.port;
