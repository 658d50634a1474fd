/**
 * Log events of changed directory entries.
 *
 * @packageDocumentation
 */

import type { DirectoryChange } from "@harrierhitch/published";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";

/** Maximum number of changes in one line. */
const maximumChanges = 32;

/** Logs the entries that one publication changes together: a line for each would push older events out of what is kept of a log. */
export class EntryChanges {
    private pending: DirectoryChange[] = [];

    /** @param log - Receives the events. */
    constructor(private readonly log: EventLog) {}

    /** Records a change; it is logged with all others of this turn of the event loop. */
    record(change: DirectoryChange): void {
        if (entryState(change.before) === entryState(change.after)) {
            return;
        }
        this.pending.push(change);
        if (this.pending.length === 1) {
            queueMicrotask(() => this.write());
        }
    }

    private write(): void {
        const { pending } = this;
        this.pending = [];
        Array.from({ length: Math.ceil(pending.length / maximumChanges) }, (_, line) => line * maximumChanges)
            .map(start => pending.slice(start, start + maximumChanges))
            .forEach(changes =>
                this.log.write(events.entryChanged, {
                    revision: Math.max(...changes.map(({ revision }) => revision)),
                    changes: changes.map(fieldsOf),
                })
            );
    }
}

/** Returns the log fields of a change; where an upstream is, only if it was added. */
const fieldsOf = ({ upstream, before, after, revision }: DirectoryChange): Readonly<Record<string, unknown>> => {
    const { service, address, port, availabilityZone } = after ?? before ?? {};
    const place = before === undefined ? { address: `${address}:${port}`, availabilityZone } : {};
    return { upstream, service, ...place, before: entryState(before), after: entryState(after), revision };
};

const entryState = (upstream: DirectoryChange["after"]): string =>
    upstream === undefined ? "absent" : upstream.draining ? "leaving" : "ready";
