/**
 * The instances that are asked first for the others.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import type { PeerAddress } from "./peer-clients.js";

/** Options of {@link Seeds}. */
export interface SeedsOptions {
    readonly random: RandomSource;
    /** Where this instance is reached; it is none of its own seeds. */
    readonly self: PeerAddress;
    readonly addresses: readonly PeerAddress[];
}

/** Keeps the seeds, which may be gone or never have been there. */
export class Seeds {
    private addresses: readonly PeerAddress[] = [];
    private isSeed = false;

    /** @param options - The first seeds. */
    constructor(private readonly options: SeedsOptions) {
        this.replace(options.addresses);
    }

    /** The seeds. */
    get all(): readonly PeerAddress[] {
        return this.addresses;
    }

    /** Whether this instance is one of the seeds, whom all others ask first. */
    get includesSelf(): boolean {
        return this.isSeed;
    }

    /** Takes over other seeds. */
    replace(addresses: readonly PeerAddress[]): void {
        this.isSeed = addresses.some(address => isSame(address, this.options.self));
        this.addresses = addresses.filter(address => !isSame(address, this.options.self));
    }

    /** Draws a seed that is none of some instances; `undefined` when there is none. */
    pickExcept(known: readonly PeerAddress[]): PeerAddress | undefined {
        const unknown = this.addresses.filter(address => !known.some(other => isSame(address, other)));
        return unknown[Math.floor(this.options.random.next() * unknown.length)];
    }
}

const isSame = (a: PeerAddress, b: PeerAddress): boolean => a.address === b.address && a.port === b.port;
