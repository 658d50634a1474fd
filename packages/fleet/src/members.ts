/**
 * The members of the fleet as one instance knows them.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock, InstanceId } from "@harrierhitch/core";
import { type Member, type MemberCursor, MemberCursorSchema, MemberSchema } from "@harrierhitch/protocol";
import { type FleetTimes, heartbeatMsFor } from "@harrierhitch/published";
import { isNewer, type MemberState } from "./member.js";

/** Options of {@link Members}. */
export interface MembersOptions {
    readonly clock: Clock;
    readonly self: Member;
    readonly times: FleetTimes;
}

interface Known {
    readonly member: Member;
    /** Time of the last news. */
    readonly heardAtMs: number;
    /** Running number of the last news here. */
    readonly number: bigint;
    /** Instance that told it. */
    readonly source: string;
}

/** What one instance tells another of members. */
export interface MemberUpdates {
    readonly members: readonly Member[];
    /** How far they bring it. */
    readonly told: MemberCursor;
}

/** Most members in one exchange, which bounds its bytes; the rest follow in the next ones. */
const maximumPerExchange = 512;

/** Heartbeats after which a member that was never heard of again is forgotten. */
const forgetBeats = 600;

/** Keeps the members, by heartbeats that are passed on from one to another. */
export class Members {
    /** In the order of the news. */
    private readonly known = new Map<string, Known>();
    /** The members as a list, until the next news. */
    private list: readonly Member[] | undefined;
    private own: Member;
    private beatAtMs = -Infinity;
    private count = 0n;
    private changes = 0;

    /** @param options - Clock, this instance and times. */
    constructor(private readonly options: MembersOptions) {
        this.own = options.self;
    }

    /** This instance as it tells of itself. */
    get self(): Member {
        return this.own;
    }

    /** Counts what was learned of members besides that they still live. */
    get version(): number {
        return this.changes;
    }

    /** Changes what this instance tells of itself. */
    updateSelf(change: Partial<Pick<Member, "leaving" | "platformReachable" | "port">>): void {
        this.own = create(MemberSchema, { ...this.own, ...change, heartbeat: this.own.heartbeat + 1n });
        this.changes += Object.keys(change).length;
    }

    /** Counts the heartbeat up, if it is time. */
    advanceHeartbeat(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.beatAtMs >= this.heartbeatMs) {
            this.beatAtMs = nowMs;
            this.updateSelf({});
        }
    }

    /**
     * Takes in news of members.
     *
     * @param news - The news.
     * @param source - The instance that told them.
     */
    merge(news: readonly Member[], source: string): void {
        const heardAtMs = this.options.clock.nowMs();
        news.forEach(member => {
            const known = this.known.get(member.instance);
            const isOther = member.instance !== this.own.instance && member.instance !== "";
            if (isOther && (known === undefined || isNewer(member, known.member))) {
                this.changes += known === undefined || isChanged(member, known.member) ? 1 : 0;
                this.put({ member, heardAtMs, number: this.nextNumber(), source });
            }
        });
    }

    /** Gives every member new time, because this process slept and could not hear them. */
    resetTimeouts(): void {
        const heardAtMs = this.options.clock.nowMs();
        this.known.forEach((known, id) => this.known.set(id, { ...known, heardAtMs }));
    }

    /** The state of a member. */
    stateOf(instance: InstanceId | string): MemberState | undefined {
        if (instance === this.own.instance) {
            return this.own.leaving ? "left" : "alive";
        }
        const known = this.known.get(instance);
        return known === undefined ? undefined : this.stateOfKnown(known);
    }

    /** All members that are alive, this instance included. */
    get alive(): readonly Member[] {
        const others = [...this.known.values()].filter(known => this.stateOfKnown(known) === "alive");
        return [this.own, ...others.map(({ member }) => member)];
    }

    /**
     * How many instances may be running, this one included: all that were heard of and have not said that they
     * leave, also the silent ones, which may be running behind a cut.
     */
    get possibleSize(): number {
        return 1 + this.others.filter(member => !member.leaving).length;
    }

    /** All members but this instance. */
    get others(): readonly Member[] {
        this.list ??= [...this.known.values()].map(({ member }) => member);
        return this.list;
    }

    /** A member, as it was told last. */
    find(instance: string): Member | undefined {
        return this.known.get(instance)?.member;
    }

    /**
     * What was heard of members since another instance heard of them from here.
     *
     * @param cursor - How far it has heard.
     * @param receiver - Its id; what it told itself is left out.
     */
    updatesSince(cursor: MemberCursor | undefined, receiver: string): MemberUpdates {
        const { incarnation } = this.own;
        const after = cursor?.incarnation === incarnation ? cursor.number : 0n;
        const later = [...this.known.values()].filter(({ number }) => number > after);
        const told = later.slice(0, maximumPerExchange);
        return {
            members: told.filter(({ source, member }) => source !== receiver && member.instance !== receiver).map(({ member }) =>
                member
            ),
            told: create(MemberCursorSchema, { incarnation, number: told.at(-1)?.number ?? after }),
        };
    }

    /** Drops members that failed or left long ago. */
    prune(): void {
        const oldestMs = this.options.clock.nowMs() - forgetBeats * this.heartbeatMs;
        const forgotten = [...this.known.values()].filter(({ heardAtMs }) => heardAtMs < oldestMs);
        forgotten.forEach(({ member }) => this.known.delete(member.instance));
        if (forgotten.length > 0) {
            this.list = undefined;
            this.changes += 1;
        }
    }

    private get heartbeatMs(): number {
        return heartbeatMsFor(this.known.size + 1);
    }

    private stateOfKnown({ member, heardAtMs }: Known): MemberState {
        if (member.leaving) {
            return "left";
        }
        const { suspectHeartbeats: suspectBeats, failHeartbeats: failBeats } = this.options.times;
        const silentBeats = (this.options.clock.nowMs() - heardAtMs) / this.heartbeatMs;
        if (silentBeats < suspectBeats) {
            return "alive";
        }
        return silentBeats < failBeats ? "suspect" : "failed";
    }

    private nextNumber(): bigint {
        this.count += 1n;
        return this.count;
    }

    /** Puts news behind all earlier ones. */
    private put(known: Known): void {
        this.known.delete(known.member.instance);
        this.known.set(known.member.instance, known);
        this.list = undefined;
    }
}

const isChanged = (news: Member, known: Member): boolean =>
    news.incarnation !== known.incarnation
    || news.leaving !== known.leaving
    || news.platformReachable !== known.platformReachable
    || news.availabilityZone !== known.availabilityZone;
