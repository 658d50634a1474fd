/**
 * The members of the fleet as known to one instance.
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

interface MemberRecord {
    readonly member: Member;
    readonly updatedAtMs: number;
    /** Sequence number of the last update on this instance. */
    readonly sequence: bigint;
    /** Instance that sent the last update. */
    readonly sender: string;
}

/** Membership changes since a cursor. */
export interface MemberUpdates {
    readonly members: readonly Member[];
    /** Cursor of the receiver after these updates. */
    readonly cursor: MemberCursor;
}

/** Maximum number of members in one exchange; the others follow in the next exchanges. */
const maximumPerExchange = 512;

/** Missed heartbeats after which a member is removed from the list. */
const retentionHeartbeats = 600;

/** Stores the members and detects failures by heartbeats, which are gossiped between instances. */
export class Members {
    /** The other members, in the order of their updates. */
    private readonly records = new Map<string, MemberRecord>();
    /** Cached list of the other members; reset by each update. */
    private cachedOthers: readonly Member[] | undefined;
    private localMember: Member;
    private lastHeartbeatAtMs = -Infinity;
    private lastSequence = 0n;
    private changeCount = 0;

    /** @param options - Clock, this instance and times. */
    constructor(private readonly options: MembersOptions) {
        this.localMember = options.self;
    }

    /** The membership record of this instance. */
    get self(): Member {
        return this.localMember;
    }

    /** Version of the membership; increases with every change other than a heartbeat. */
    get version(): number {
        return this.changeCount;
    }

    /** Changes the membership record of this instance. */
    updateSelf(change: Partial<Pick<Member, "leaving" | "platformReachable" | "port">>): void {
        this.localMember = create(MemberSchema, { ...this.localMember, ...change, heartbeat: this.localMember.heartbeat + 1n });
        this.changeCount += Object.keys(change).length;
    }

    /** Advances the heartbeat of this instance if its interval has passed. */
    advanceHeartbeat(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastHeartbeatAtMs >= this.heartbeatMs) {
            this.lastHeartbeatAtMs = nowMs;
            this.updateSelf({});
        }
    }

    /**
     * Merges membership updates from another instance; updates that are not newer are ignored.
     *
     * @param updates - The updates.
     * @param sender - Id of the instance that sent them.
     */
    merge(updates: readonly Member[], sender: string): void {
        const updatedAtMs = this.options.clock.nowMs();
        updates.forEach(member => {
            const current = this.records.get(member.instance);
            const isOther = member.instance !== this.localMember.instance && member.instance !== "";
            if (isOther && (current === undefined || isNewer(member, current.member))) {
                this.changeCount += current === undefined || isChanged(member, current.member) ? 1 : 0;
                this.put({ member, updatedAtMs, sequence: this.nextSequence(), sender });
            }
        });
    }

    /** Restarts the failure timeout of every member, because this process was suspended and received no heartbeats. */
    resetTimeouts(): void {
        const updatedAtMs = this.options.clock.nowMs();
        this.records.forEach((record, id) => this.records.set(id, { ...record, updatedAtMs }));
    }

    /** Returns the state of a member; `undefined` if it is unknown. */
    stateOf(instance: InstanceId | string): MemberState | undefined {
        if (instance === this.localMember.instance) {
            return this.localMember.leaving ? "left" : "alive";
        }
        const record = this.records.get(instance);
        return record === undefined ? undefined : this.stateOfRecord(record);
    }

    /** All alive members, including this instance. */
    get alive(): readonly Member[] {
        const others = [...this.records.values()].filter(record => this.stateOfRecord(record) === "alive");
        return [this.localMember, ...others.map(({ member }) => member)];
    }

    /**
     * Number of instances that may be running, including this one: all members that did not announce that they leave.
     * Unresponsive members count, because they may be running in another partition.
     */
    get possibleSize(): number {
        return 1 + this.others.filter(member => !member.leaving).length;
    }

    /** Number of instances of an availability zone that may be running, as {@link possibleSize} counts them. */
    possibleSizeOf(availabilityZone: string): number {
        return [this.localMember, ...this.others.filter(member => !member.leaving)]
            .filter(member => member.availabilityZone === availabilityZone).length;
    }

    /** All members except this instance. */
    get others(): readonly Member[] {
        this.cachedOthers ??= [...this.records.values()].map(({ member }) => member);
        return this.cachedOthers;
    }

    /** Returns the latest membership record of another instance. */
    find(instance: string): Member | undefined {
        return this.records.get(instance)?.member;
    }

    /**
     * Number of other members that have stated lately that the platform does not respond to them.
     *
     * @param withinMs - Longest time since this instance heard of it, in milliseconds.
     */
    reportsOfOutage(withinMs: number): number {
        const sinceMs = this.options.clock.nowMs() - withinMs;
        return [...this.records.values()].filter(record =>
            !record.member.platformReachable && record.updatedAtMs >= sinceMs && this.stateOfRecord(record) === "alive"
        ).length;
    }

    /**
     * Returns the membership updates that another instance has not received from this one.
     *
     * @param cursor - Position up to which it has received them.
     * @param receiver - Id of the receiver; updates that it sent are omitted.
     */
    updatesSince(cursor: MemberCursor | undefined, receiver: string): MemberUpdates {
        const { incarnation } = this.localMember;
        const after = cursor?.incarnation === incarnation ? cursor.number : 0n;
        const later = [...this.records.values()].filter(({ sequence }) => sequence > after);
        const selected = later.slice(0, maximumPerExchange);
        return {
            members: selected.filter(({ sender, member }) => sender !== receiver && member.instance !== receiver).map((
                { member },
            ) => member),
            cursor: create(MemberCursorSchema, { incarnation, number: selected.at(-1)?.sequence ?? after }),
        };
    }

    /** Removes members that failed or left long ago. */
    prune(): void {
        const oldestMs = this.options.clock.nowMs() - retentionHeartbeats * this.heartbeatMs;
        const expired = [...this.records.values()].filter(({ updatedAtMs }) => updatedAtMs < oldestMs);
        expired.forEach(({ member }) => this.records.delete(member.instance));
        if (expired.length > 0) {
            this.cachedOthers = undefined;
            this.changeCount += 1;
        }
    }

    private get heartbeatMs(): number {
        return heartbeatMsFor(this.records.size + 1);
    }

    private stateOfRecord({ member, updatedAtMs }: MemberRecord): MemberState {
        if (member.leaving) {
            return "left";
        }
        const { suspectHeartbeats, failHeartbeats } = this.options.times;
        const missedHeartbeats = (this.options.clock.nowMs() - updatedAtMs) / this.heartbeatMs;
        if (missedHeartbeats < suspectHeartbeats) {
            return "alive";
        }
        return missedHeartbeats < failHeartbeats ? "suspect" : "failed";
    }

    private nextSequence(): bigint {
        this.lastSequence += 1n;
        return this.lastSequence;
    }

    /** Stores a record behind all earlier updates. */
    private put(record: MemberRecord): void {
        this.records.delete(record.member.instance);
        this.records.set(record.member.instance, record);
        this.cachedOthers = undefined;
    }
}

const isChanged = (update: Member, current: Member): boolean =>
    update.incarnation !== current.incarnation
    || update.leaving !== current.leaving
    || update.platformReachable !== current.platformReachable
    || update.availabilityZone !== current.availabilityZone;
