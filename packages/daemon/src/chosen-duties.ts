/**
 * What this instance may do because it is chosen among all; one that is no part of a fleet does everything itself.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { type LimitShare, type RequestPattern, wholeShare } from "@harrierhitch/decision";
import type { ChosenMembers } from "@harrierhitch/fleet";

/** Options of {@link ChosenDuties}. */
export interface ChosenDutiesOptions {
    /** Whether it belongs to no fleet. */
    readonly isAlone: boolean;
    /** Who is chosen in its fleet; `undefined` before it has joined. */
    readonly chosen: () => ChosenMembers | undefined;
}

/** Tells what this instance is chosen for. */
export class ChosenDuties {
    /** @param options - Its fleet. */
    constructor(private readonly options: ChosenDutiesOptions) {}

    /** How many instances share a cold upstream; 0 where this one is none of them. */
    sharersOf(upstream: UpstreamId): number {
        return this.options.isAlone ? 1 : this.options.chosen()?.sharersOf(upstream) ?? 0;
    }

    /** This instance's share of what an upstream takes; it sends nothing before it knows others. */
    limitShareOf(upstream: UpstreamId, wanted: number): LimitShare {
        const { isAlone, chosen } = this.options;
        return isAlone
            ? wholeShare
            : chosen()?.limitShare(upstream, wanted) ?? { isSharer: false, sharers: wanted, members: wanted };
    }

    /** Whether this instance is to try what is withheld. */
    mayTry(pattern: RequestPattern): boolean {
        return this.options.isAlone || this.options.chosen()?.mayTry(pattern) === true;
    }
}
