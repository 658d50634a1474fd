/**
 * The upstreams that the platform lists apart from the configuration.
 *
 * @packageDocumentation
 */

import type { CheckResult, DiscoveredUpstream, Finding } from "@harrierhitch/configuration";
import { type Clock, type UpstreamId, upstreamId } from "@harrierhitch/core";
import { type ZoneStatus, ZoneStatusTable } from "./zone-status-table.js";

/** One listing as it was published or passed on. */
export interface DirectoryEntry {
    readonly upstream: UpstreamId;
    /** Revision of the platform at which it was published or taken away. */
    readonly revision: number;
    /** Published text; `undefined` when the upstream was taken away. */
    readonly text: string | undefined;
    /**
     * Milliseconds for which the instance that passes a removal on still doubts it;
     * `undefined` for one that the platform told, which this instance judges itself.
     */
    readonly unconfirmedMs?: number;
}

/** Listings of a read or a watch, or as another instance passes them on. */
export interface DirectoryUpdate {
    /** Every change up to this revision is included. */
    readonly revision: number;
    /** Whether these are all listings, so that upstreams without one are gone. */
    readonly isSnapshot: boolean;
    readonly entries: readonly DirectoryEntry[];
    /** Availability zones that are out of service, or were put back; all that are out where the news are whole. */
    readonly zones: readonly ZoneStatus[];
}

/** What changed by some news. */
export interface DirectoryChange {
    readonly upstream: UpstreamId;
    readonly before: DiscoveredUpstream | undefined;
    readonly after: DiscoveredUpstream | undefined;
    readonly revision: number;
}

/** Options of {@link UpstreamDirectory}. */
export interface UpstreamDirectoryOptions {
    readonly clock: Clock;
    /** Reads the text of a listing. */
    readonly read: (id: UpstreamId, text: string) => CheckResult<DiscoveredUpstream>;
    /**
     * Milliseconds for which removals are doubtful, because the platform was away
     * just now and entries may have lapsed although their upstreams live; 0 when they are certain.
     */
    readonly removalGraceMs: () => number;
    /** Told of each change. */
    readonly onChange: (change: DirectoryChange) => void;
    /** Told when a removal that was doubted has turned out to be true. */
    readonly onRemovalConfirmed: () => void;
    /** Told of an availability zone that was taken out of service or put back. */
    readonly onZoneChange: (change: ZoneStatus) => void;
    /** Told of a listing that cannot be read: it names no upstream to use, whatever the one before it said. */
    readonly onInvalid: (id: UpstreamId, findings: readonly Finding[], revision: number) => void;
}

interface DoubtedRemoval {
    readonly removal: DirectoryEntry;
    readonly untilMs: number;
}

interface Entry {
    readonly revision: number;
    readonly text: string | undefined;
    readonly upstream: DiscoveredUpstream | undefined;
}

/** Upstreams gone at once without a word that are taken for lapsed entries at first: at least so many, and this share of all. */
const minimumLapsed = 3;
const lapsedShare = 0.2;

/** Time for which such removals are doubted: well below the two seconds after which an upstream that left gets no new work. */
const suddenGraceMs = 1_400;

/** Changes that were taken away are remembered for this many revisions, so that they can be passed on. */
const rememberedRevisions = 2_000;

/** Keeps the listings by their revisions; an older one never undoes a later one. */
export class UpstreamDirectory {
    private readonly entries = new Map<UpstreamId, Entry>();
    private readonly zones = new ZoneStatusTable();
    private known = 0;
    /** Removals that are not believed yet, until it is clear that the entries did not just lapse. */
    private readonly doubted = new Map<UpstreamId, DoubtedRemoval>();

    /** @param options - Clock, reader and listeners. */
    constructor(private readonly options: UpstreamDirectoryOptions) {}

    /** Every change up to this revision is known; 0 before the first news. */
    get revision(): number {
        return this.known;
    }

    /** The listed upstreams. */
    get upstreams(): readonly DiscoveredUpstream[] {
        return [...this.entries.values()].flatMap(entry => entry.upstream ?? []);
    }

    /** The listed upstreams whose availability zone is in service: only they get requests. */
    get upstreamsInService(): readonly DiscoveredUpstream[] {
        return this.upstreams.filter(({ availabilityZone }) => !this.zones.isOut(availabilityZone));
    }

    /** The availability zones that are out of service. */
    get zonesOutOfService(): readonly string[] {
        return this.zones.outOfService;
    }

    /** Takes in news from any source. */
    merge(news: DirectoryUpdate): void {
        this.zones.merge(news, this.known).forEach(change => this.options.onZoneChange(change));
        const removals = [...news.entries.filter(listing => this.isRemoval(listing)), ...this.missingFrom(news)];
        const ownDoubtMs = Math.max(this.options.removalGraceMs(), this.areTooMany(removals) ? suddenGraceMs : 0);
        news.entries.filter(listing => !removals.includes(listing)).forEach(listing => this.put(listing));
        removals.forEach(removal => {
            this.doubt(removal, removal.unconfirmedMs ?? ownDoubtMs);
        });
        this.known = Math.max(this.known, news.revision);
        this.forgetOldRemovals();
    }

    /**
     * The news for an instance that knows every change up to a revision.
     *
     * @param revision - What it knows; 0 for nothing.
     */
    updatesSince(revision: number): DirectoryUpdate {
        const isWhole = revision === 0 || revision < this.known - rememberedRevisions;
        const kept = [...this.entries]
            .filter(([, entry]) => isWhole ? entry.text !== undefined : entry.revision > revision)
            .map(([upstream, entry]) => ({ upstream, revision: entry.revision, text: entry.text, doubtedMs: 0 }));
        const nowMs = this.options.clock.nowMs();
        const doubted = [...this.doubted.values()]
            .filter(({ removal }) => removal.revision > revision)
            .map(({ removal, untilMs }) => ({ ...removal, doubtedMs: Math.max(1, untilMs - nowMs) }));
        const zones = this.zones.statusesSince(revision, isWhole);
        return { revision: this.known, isSnapshot: isWhole, entries: [...kept, ...doubted], zones };
    }

    private put({ upstream, revision, text }: DirectoryEntry): void {
        const before = this.entries.get(upstream);
        if (before !== undefined && before.revision >= revision) {
            return;
        }
        const after = text === undefined ? undefined : this.read(upstream, text, revision);
        this.entries.set(upstream, { revision, text, upstream: after });
        this.tell({ upstream, before: before?.upstream, after, revision });
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

    /** Removals of the upstreams that a whole read lacks. */
    private missingFrom(news: DirectoryUpdate): readonly DirectoryEntry[] {
        if (!news.isSnapshot || news.revision < this.known) {
            return [];
        }
        const present = new Set(news.entries.map(listing => listing.upstream));
        return [...this.entries].flatMap(([upstream, entry]) =>
            entry.text !== undefined && !present.has(upstream) && entry.revision <= news.revision
                ? [{ upstream, revision: Math.max(entry.revision + 1, news.revision), text: undefined }]
                : []
        );
    }

    /** Whether so many upstreams that never said they leave are gone at once that a lapse is likelier. */
    private areTooMany(removals: readonly DirectoryEntry[]): boolean {
        const sudden = removals.filter(({ upstream }) => this.entries.get(upstream)?.upstream?.draining === false).length;
        return sudden >= minimumLapsed && sudden > this.upstreams.length * lapsedShare;
    }

    private doubt(removal: DirectoryEntry, doubtMs: number): void {
        if (doubtMs <= 0) {
            this.put(removal);
            return;
        }
        const { clock } = this.options;
        this.doubted.set(removal.upstream, { removal, untilMs: clock.nowMs() + doubtMs });
        clock.after(doubtMs, () => {
            if (this.doubted.get(removal.upstream)?.removal === removal) {
                this.doubted.delete(removal.upstream);
                this.put(removal);
                this.options.onRemovalConfirmed();
            }
        });
    }

    private tell(change: DirectoryChange): void {
        if (change.before !== undefined || change.after !== undefined) {
            this.options.onChange(change);
        }
    }

    private forgetOldRemovals(): void {
        this.entries.forEach((entry, id) => {
            if (entry.text === undefined && entry.revision < this.known - rememberedRevisions) {
                this.entries.delete(id);
            }
        });
    }
}

/** Brands the listings that another instance passed on. */
export const toDirectoryEntry = (
    upstream: string,
    revision: number,
    text: string | undefined,
    doubtedMs: number,
): DirectoryEntry => ({
    upstream: upstreamId(upstream),
    revision,
    text,
    unconfirmedMs: doubtedMs,
});
