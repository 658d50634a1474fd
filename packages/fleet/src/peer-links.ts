/**
 * The links of this instance, with one task for each linked member.
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
    /** Selects the links among the reachable members. */
    readonly select: (members: readonly Member[]) => readonly Link[];
    /** Whether to retry a failed member now. */
    readonly mayRetry: (member: Member) => boolean;
    /** Exchanges state with a member, as a long poll if the link specifies one; resolves with whether it responded. */
    readonly exchangeWith: (member: Member, reason: ExchangeReason, link?: Link) => Promise<boolean>;
    /** Called when an exchange is delayed by the minimum interval. */
    readonly onLimited: () => void;
}

/** Runs a task for each link. */
export class PeerLinks {
    private readonly tasks = new Map<string, LinkTask>();
    private links = new Map<string, Link>();

    /** @param options - Members, selection and exchanges. */
    constructor(private readonly options: PeerLinksOptions) {}

    /**
     * Starts exchanges over the links without waiting for their intervals.
     *
     * @param isUrgent - Whether to include links with a pending long poll.
     */
    wake(isUrgent: boolean): void {
        this.tasks.forEach(task => task.wake(isUrgent));
    }

    /** Whether a member is linked. */
    includes(instance: string): boolean {
        return this.links.has(instance);
    }

    stop(): void {
        this.tasks.forEach(task => task.stop());
        this.tasks.clear();
    }

    /** Selects the links anew, starts the tasks of new links and stops those of removed links. */
    refresh(): void {
        const candidates = this.options.members.others.filter(member =>
            member.port > 0 && this.options.members.stateOf(member.instance) !== "left"
        );
        const reachable = candidates.filter(member => this.options.members.stateOf(member.instance) !== "failed");
        // One failed member is retried, so that the parts of a partitioned fleet reconnect.
        const failed = candidates.filter(member => !reachable.includes(member) && this.options.mayRetry(member));
        const retried = failed[Math.floor(this.options.random.next() * failed.length)];
        const links = new Map(this.options.select(reachable).map(link => [link.member.instance, link]));
        if (retried !== undefined) {
            void this.options.exchangeWith(retried, "search");
        }
        this.tasks.forEach((task, id) => {
            // Stops the task if the link is removed or changes its role, because it may be sleeping for the previous interval.
            if (
                links.get(id)?.longPollMs !== this.links.get(id)?.longPollMs || links.get(id)?.role !== this.links.get(id)?.role
            ) {
                task.stop();
                this.tasks.delete(id);
            }
        });
        this.links = links;
        links.forEach((link, id) => {
            if (!this.tasks.has(id)) {
                this.tasks.set(id, this.createTask(id, link));
            }
        });
    }

    private createTask(id: string, link: Link): LinkTask {
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
