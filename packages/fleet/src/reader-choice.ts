/**
 * Which instances of the own availability zone read the platform, as one instance sees it.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import type { Members } from "./members.js";
import { readersOf } from "./readers.js";

/** Options of {@link ReaderChoice}. */
export interface ReaderChoiceOptions {
    readonly clock: Clock;
    readonly members: Members;
    /** Time for which a member that did not answer is passed over. */
    readonly avoidMs: number;
}

/** Finds the readers among the members that live, reach the platform and have answered lately. */
export class ReaderChoice {
    /** Members that did not answer, with the time until which they are passed over. */
    private readonly avoided = new Map<string, number>();

    /** @param options - Members and times. */
    constructor(private readonly options: ReaderChoiceOptions) {}

    /** The readers of this instance's availability zone. */
    get all(): readonly Member[] {
        const { clock, members } = this.options;
        const { self, alive } = members;
        const nowMs = clock.nowMs();
        const able = alive.filter(({ instance, platformReachable }) =>
            instance === self.instance || platformReachable && (this.avoided.get(instance) ?? 0) <= nowMs
        );
        return readersOf(self.availabilityZone, able);
    }

    /** Whether this instance is one of them. */
    get isSelf(): boolean {
        const { self } = this.options.members;
        return this.all.some(member => member.instance === self.instance);
    }

    /** Whether others of the availability zone may rely on what this instance reads. */
    get hasFollowers(): boolean {
        const { self, alive } = this.options.members;
        return alive.some(member => member !== self && member.availabilityZone === self.availabilityZone);
    }

    /**
     * Passes over a member that did not answer.
     *
     * @returns Whether it was one of the readers, so that another one has to be found.
     */
    avoid(member: Member): boolean {
        const wasReader = this.all.some(({ instance }) => instance === member.instance);
        this.avoided.set(member.instance, this.options.clock.nowMs() + this.options.avoidMs);
        return wasReader;
    }
}
