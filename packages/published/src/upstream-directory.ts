/**
 * The upstreams that the platform publishes apart from the configuration.
 *
 * @packageDocumentation
 */

import type { CheckResult, DiscoveredUpstream, Finding } from "@harrierhitch/configuration";
import type { Clock, UpstreamId } from "@harrierhitch/core";
import type { DirectoryEntry } from "./directory-entry.js";
import { UnconfirmedRemovals } from "./unconfirmed-removals.js";
import { isCurrentSnapshot, type ZoneStatus, ZoneStatusTable } from "./zone-status-table.js";

/** Changes of the directory: a full snapshot or a delta. */
export interface DirectoryUpdate {
    /** Revision up to which all changes are included. Entries may be newer. */
    readonly revision: number;
    /** Whether this is a full snapshot, so that upstreams without an entry are removed. */
    readonly isSnapshot: boolean;
    readonly entries: readonly DirectoryEntry[];
    /** Availability zones whose status changed; in a snapshot, all zones that are out of service. */
    readonly zones: readonly ZoneStatus[];
    /** Revision since which a delta has all changes; 0 by default, and in a snapshot. */
    readonly sinceRevision?: number;
}

/** The change of one upstream by an update. */
export interface DirectoryChange {
    readonly upstream: UpstreamId;
    readonly before: DiscoveredUpstream | undefined;
    readonly after: DiscoveredUpstream | undefined;
    readonly revision: number;
}

/** Options of {@link UpstreamDirectory}. */
export interface UpstreamDirectoryOptions {
    readonly clock: Clock;
    /** Parses the text of an entry. */
    readonly read: (id: UpstreamId, text: string) => CheckResult<DiscoveredUpstream>;
    /**
     * Milliseconds for which removals are unconfirmed, because the platform was unavailable and entries may have expired
     * while their upstreams were running; 0 if removals apply at once.
     */
    readonly removalGraceMs: () => number;
    /** Called for each change. */
    readonly onChange: (change: DirectoryChange) => void;
    /** Called with removals that don't take effect yet, and the longest of their grace periods in milliseconds. */
    readonly onRemovalsUnconfirmed?: (removals: readonly DirectoryEntry[], graceMs: number) => void;
    /** Called when an unconfirmed removal takes effect. */
    readonly onRemovalConfirmed: () => void;
    /** Called when an availability zone is taken out of service or put back. */
    readonly onZoneChange: (change: ZoneStatus) => void;
    /** Called for an entry that cannot be parsed; its upstream is not used, even if the previous entry was valid. */
    readonly onInvalid: (id: UpstreamId, findings: readonly Finding[], revision: number) => void;
}

interface StoredEntry {
    readonly revision: number;
    readonly text: string | undefined;
    readonly upstream: DiscoveredUpstream | undefined;
}

/** Simultaneous removals of upstreams that were not draining are unconfirmed from this number and this share of all. */
const minimumSuddenRemovals = 3;
const suddenRemovalShare = 0.2;

/** Time for which such removals are unconfirmed, in milliseconds; a removal must take effect within two seconds. */
const suddenGraceMs = 1_400;

/** Number of revisions for which removed entries are retained, so that they can be sent to other instances. */
const retainedRevisions = 2_000;

/** Stores the directory entries by revision; an entry with a lower revision is ignored. */
export class UpstreamDirectory {
    private readonly entries = new Map<UpstreamId, StoredEntry>();
    private readonly zones = new ZoneStatusTable();
    private appliedRevision = 0;
    /**
     * Revision since which all changes are stored, removals too. A snapshot does not tell what was removed before it, so an instance
     * whose revision is lower can't be told either, and receives a snapshot.
     */
    private completeSince = 0;
    /** Removals that may be caused by expired entries and don't take effect yet. */
    private readonly unconfirmed: UnconfirmedRemovals;

    /** @param options - Clock, parser and callbacks. */
    constructor(private readonly options: UpstreamDirectoryOptions) {
        this.unconfirmed = new UnconfirmedRemovals({
            clock: options.clock,
            onConfirmed: removal => {
                this.put(removal);
                options.onRemovalConfirmed();
            },
        });
    }

    /** Revision up to which all changes are applied; 0 before the first update. */
    get revision(): number {
        return this.appliedRevision;
    }

    /** The discovered upstreams. */
    get upstreams(): readonly DiscoveredUpstream[] {
        return [...this.entries.values()].flatMap(entry => entry.upstream ?? []);
    }

    /** The discovered upstreams whose availability zone is in service; only these receive requests. */
    get upstreamsInService(): readonly DiscoveredUpstream[] {
        return this.upstreams.filter(({ availabilityZone }) => !this.zones.isOut(availabilityZone));
    }

    /** The availability zones that are out of service. */
    get zonesOutOfService(): readonly string[] {
        return this.zones.outOfService;
    }

    /** Merges an update from the platform or from another instance; a delta since a revision that is not applied is ignored. */
    merge(update: DirectoryUpdate): void {
        if ((update.sinceRevision ?? 0) > this.appliedRevision) {
            return;
        }
        this.zones.merge(update, this.appliedRevision).forEach(change => this.options.onZoneChange(change));
        const entries = isCurrentSnapshot(update, this.appliedRevision)
            ? update.entries
            : update.entries.filter(entry => !this.isKnownToBeGone(entry));
        const removals = [...entries.filter(entry => this.isRemoval(entry)), ...this.removalsImpliedBy(update)];
        const localGraceMs = Math.max(this.options.removalGraceMs(), this.isSuddenRemoval(removals) ? suddenGraceMs : 0);
        entries.filter(entry => !removals.includes(entry)).forEach(entry => this.put(entry));
        this.remove(removals, localGraceMs);
        if (update.isSnapshot && update.revision > this.appliedRevision) {
            this.completeSince = update.revision;
        }
        this.appliedRevision = Math.max(this.appliedRevision, update.revision);
        this.evictOldRemovals();
    }

    /**
     * Returns the update for an instance that has all changes up to a revision.
     *
     * @param revision - That revision; 0 for a full snapshot.
     */
    updatesSince(revision: number): DirectoryUpdate {
        const isSnapshot = revision === 0 || revision < this.completeSince;
        const stored = [...this.entries]
            .filter(([, entry]) => isSnapshot ? entry.text !== undefined : entry.revision > revision)
            .map(([upstream, entry]) => ({ upstream, revision: entry.revision, text: entry.text, unconfirmedMs: 0 }));
        const unconfirmed = this.unconfirmed.since(revision);
        const zones = this.zones.statusesSince(revision, isSnapshot);
        const sinceRevision = isSnapshot ? 0 : revision;
        return { revision: this.appliedRevision, sinceRevision, isSnapshot, entries: [...stored, ...unconfirmed], zones };
    }

    private put({ upstream, revision, text }: DirectoryEntry): void {
        const before = this.entries.get(upstream);
        if (before !== undefined && before.revision >= revision) {
            return;
        }
        const after = text === undefined ? undefined : this.read(upstream, text, revision);
        this.entries.set(upstream, { revision, text, upstream: after });
        this.notifyChange({ upstream, before: before?.upstream, after, revision });
    }

    private read(id: UpstreamId, text: string, revision: number): DiscoveredUpstream | undefined {
        const { value, findings } = this.options.read(id, text);
        if (value === undefined) {
            this.options.onInvalid(id, findings, revision);
        }
        return value;
    }

    private isRemoval({ upstream, revision, text }: DirectoryEntry): boolean {
        const before = this.entries.get(upstream);
        return text === undefined && before?.upstream !== undefined && before.revision < revision;
    }

    /** Whether an entry was removed up to the applied revision: otherwise it would be stored. */
    private isKnownToBeGone({ upstream, revision, text }: DirectoryEntry): boolean {
        return text !== undefined && revision <= this.appliedRevision && !this.entries.has(upstream);
    }

    /** Returns removals of the stored upstreams that a snapshot doesn't contain. */
    private removalsImpliedBy(update: DirectoryUpdate): readonly DirectoryEntry[] {
        if (!isCurrentSnapshot(update, this.appliedRevision)) {
            return [];
        }
        const present = new Set(update.entries.map(entry => entry.upstream));
        return [...this.entries].flatMap(([upstream, entry]) =>
            entry.text !== undefined && !present.has(upstream) && entry.revision <= update.revision
                ? [{ upstream, revision: Math.max(entry.revision + 1, update.revision), text: undefined }]
                : []
        );
    }

    /** Whether so many upstreams that were not draining are removed at once that their entries have probably expired. */
    private isSuddenRemoval(removals: readonly DirectoryEntry[]): boolean {
        const sudden = removals.filter(({ upstream }) => this.entries.get(upstream)?.upstream?.draining === false).length;
        return sudden >= minimumSuddenRemovals && sudden > this.upstreams.length * suddenRemovalShare;
    }

    /** Applies removals, each after its grace period, unless a later entry replaces it. */
    private remove(removals: readonly DirectoryEntry[], localGraceMs: number): void {
        const graceMsOf = ({ unconfirmedMs = localGraceMs }: DirectoryEntry): number => unconfirmedMs;
        const unconfirmed = removals.filter(removal => graceMsOf(removal) > 0);
        if (unconfirmed.length > 0) {
            this.options.onRemovalsUnconfirmed?.(unconfirmed, Math.max(...unconfirmed.map(graceMsOf)));
        }
        unconfirmed.forEach(removal => this.unconfirmed.add(removal, graceMsOf(removal)));
        removals.filter(removal => graceMsOf(removal) <= 0).forEach(removal => this.put(removal));
    }

    private notifyChange(change: DirectoryChange): void {
        if (change.before !== undefined || change.after !== undefined) {
            this.options.onChange(change);
        }
    }

    private evictOldRemovals(): void {
        this.completeSince = Math.max(this.completeSince, this.appliedRevision - retainedRevisions);
        this.entries.forEach((entry, id) => {
            if (entry.text === undefined && entry.revision < this.completeSince) {
                this.entries.delete(id);
            }
        });
    }
}
