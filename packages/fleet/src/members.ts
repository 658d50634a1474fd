/**
 * The members of the fleet as one instance knows them.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Clock, InstanceId } from "@harrierhitch/core";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import { isNewer, type MemberState } from "./member.js";

/** Options of {@link Members}. */
export interface MembersOptions {
    readonly clock: Clock;
    readonly self: Member;
    /** Time without news after which a member is suspect. */
    readonly suspectMs: number;
    /** Time without news after which a suspect that nobody has heard of is failed. */
    readonly failMs: number;
}

interface Known {
    readonly member: Member;
    /** Time of the last news. */
    readonly heardAtMs: number;
}

/** Most members in one exchange; with more, those with the latest news go first. */
const maximumPerExchange = 24;

/** Keeps the members, by heartbeats that are passed on from one to another. */
export class Members {
    private readonly known = new Map<string, Known>();
    private own: Member;

    /** @param options - Clock, this instance and times. */
    constructor(private readonly options: MembersOptions) {
        this.own = options.self;
    }

    /** This instance as it tells of itself. */
    get self(): Member {
        return this.own;
    }

    /** Changes what this instance tells of itself. */
    tell(change: Partial<Pick<Member, "leaving" | "platformReachable" | "port">>): void {
        this.own = create(MemberSchema, { ...this.own, ...change });
    }

    /** Counts the heartbeat up. */
    beat(): void {
        this.own = create(MemberSchema, { ...this.own, heartbeat: this.own.heartbeat + 1n });
    }

    /** Takes in news of members; gives those that were not known before. */
    merge(news: readonly Member[]): readonly Member[] {
        const atMs = this.options.clock.nowMs();
        return news.filter(member => {
            if (member.instance === this.own.instance || member.instance === "") {
                return false;
            }
            const known = this.known.get(member.instance);
            if (known !== undefined && !isNewer(member, known.member)) {
                return false;
            }
            this.known.set(member.instance, { member, heardAtMs: atMs });
            return known === undefined;
        });
    }

    /** Gives every member new time, because this process slept and could not hear them. */
    forgive(): void {
        const atMs = this.options.clock.nowMs();
        this.known.forEach((known, id) => this.known.set(id, { ...known, heardAtMs: atMs }));
    }

    /** The state of a member. */
    stateOf(instance: InstanceId | string): MemberState | undefined {
        if (instance === this.own.instance) {
            return this.own.leaving ? "left" : "alive";
        }
        const known = this.known.get(instance);
        if (known === undefined) {
            return undefined;
        }
        const silentMs = this.options.clock.nowMs() - known.heardAtMs;
        if (known.member.leaving) {
            return "left";
        }
        if (silentMs < this.options.suspectMs) {
            return "alive";
        }
        return silentMs < this.options.failMs ? "suspect" : "failed";
    }

    /** All members that are alive, this instance included. */
    get alive(): readonly Member[] {
        return [this.own, ...this.others.filter(member => this.stateOf(member.instance) === "alive")];
    }

    /**
     * How many instances may be running, this one included: all that were heard of and have not said that they
     * leave, also the silent ones, which may be running behind a cut.
     */
    get possible(): number {
        return 1 + this.others.filter(member => !member.leaving).length;
    }

    /** All members but this instance. */
    get others(): readonly Member[] {
        return [...this.known.values()].map(known => known.member);
    }

    /** The members that are told in an exchange, those with the latest news first. */
    news(): readonly Member[] {
        const heard = [...this.known.values()].filter(known => known.member.heartbeat > 0n || known.member.leaving);
        const latest = heard.length <= maximumPerExchange ? heard : [...heard].sort((a, b) => b.heardAtMs - a.heardAtMs);
        return latest.slice(0, maximumPerExchange).map(known => known.member);
    }

    /** Drops members that failed or left long ago. */
    prune(afterMs: number): void {
        const oldestMs = this.options.clock.nowMs() - afterMs;
        this.known.forEach((known, id) => {
            if (known.heardAtMs < oldestMs) {
                this.known.delete(id);
            }
        });
    }
}
