/**
 * The links of this instance: one task for each peer that it talks to.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import type { ExchangeReason } from "./exchange-reason.js";
import { LinkTask } from "./link-task.js";
import type { Link } from "./links.js";
import type { Members } from "./members.js";

/** Options of {@link PeerLinks}. */
export interface PeerLinksOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly members: Members;
    /** Chooses the links among members that may be talked to. */
    readonly choose: (members: readonly Member[]) => readonly Link[];
    /** Whether a member that failed is tried now and then. */
    readonly mayRetry: (member: Member) => boolean;
    /** Exchanges news with one member, which may keep its answer back for a time; tells whether it answered. */
    readonly exchangeWith: (member: Member, reason: ExchangeReason, link?: Link) => Promise<boolean>;
    /** Told when an exchange had to wait because the one before it was just now. */
    readonly onLimited: () => void;
}

/** Runs a task for each link. */
export class PeerLinks {
    private readonly tasks = new Map<string, LinkTask>();
    private links = new Map<string, Link>();

    /** @param options - Members and the way to talk to them. */
    constructor(private readonly options: PeerLinksOptions) {}

    /**
     * Lets links exchange now, because there is news.
     *
     * @param isUrgent - Whether members that keep their answers back have to hear it, too, before those are due.
     */
    wake(isUrgent: boolean): void {
        this.tasks.forEach(task => task.wake(isUrgent));
    }

    /** Whether a member is one of the links. */
    includes(instance: string): boolean {
        return this.links.has(instance);
    }

    /** Ends all tasks. */
    stop(): void {
        this.tasks.forEach(task => task.stop());
        this.tasks.clear();
    }

    /** Starts a task for each peer that is a link now, and ends those of former links. */
    refresh(): void {
        const candidates = this.options.members.others.filter(member =>
            member.port > 0 && this.options.members.stateOf(member.instance) !== "left"
        );
        const reachable = candidates.filter(member => this.options.members.stateOf(member.instance) !== "failed");
        // A failed member is tried now and then, so that halves that were cut apart find each other again.
        const failed = candidates.filter(member => !reachable.includes(member) && this.options.mayRetry(member));
        const retried = failed[Math.floor(this.options.random.next() * failed.length)];
        const links = new Map(this.options.choose(reachable).map(link => [link.member.instance, link]));
        if (retried !== undefined) {
            void this.options.exchangeWith(retried, "search");
        }
        this.tasks.forEach((task, id) => {
            // A link that becomes one to a source must not sleep on as the quiet one that it was.
            if (links.get(id)?.waitMs !== this.links.get(id)?.waitMs || links.get(id)?.role !== this.links.get(id)?.role) {
                task.stop();
                this.tasks.delete(id);
            }
        });
        this.links = links;
        links.forEach((link, id) => {
            if (!this.tasks.has(id)) {
                this.tasks.set(id, this.taskFor(id, link));
            }
        });
    }

    private taskFor(id: string, link: Link): LinkTask {
        const { clock, random, members, exchangeWith, onLimited } = this.options;
        return new LinkTask({
            clock,
            random,
            link: () => this.links.get(id) ?? link,
            member: () => members.find(id) ?? link.member,
            exchangeWith,
            onLimited,
        });
    }
}
