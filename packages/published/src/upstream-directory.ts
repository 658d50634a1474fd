/**
 * The upstreams that the platform lists apart from the configuration.
 *
 * @packageDocumentation
 */

import type { Checked, Finding, ListedUpstream } from "@harrierhitch/configuration";
import { type Clock, type UpstreamId, upstreamId } from "@harrierhitch/core";
import { type ZoneListing, ZoneListings } from "./zone-listings.js";

/** One listing as it was published or passed on. */
export interface Listing {
    readonly upstream: UpstreamId;
    /** Revision of the platform at which it was published or taken away. */
    readonly revision: number;
    /** Published text; `undefined` when the upstream was taken away. */
    readonly text: string | undefined;
    /**
     * Milliseconds for which the instance that passes a removal on still doubts it;
     * `undefined` for one that the platform told, which this instance judges itself.
     */
    readonly doubtedMs?: number;
}

/** Listings of a read or a watch, or as another instance passes them on. */
export interface DirectoryNews {
    /** Every change up to this revision is included. */
    readonly revision: number;
    /** Whether these are all listings, so that upstreams without one are gone. */
    readonly whole: boolean;
    readonly listings: readonly Listing[];
    /** Availability zones that are out of service, or were put back; all that are out where the news are whole. */
    readonly zones: readonly ZoneListing[];
}

/** What changed by some news. */
export interface DirectoryChange {
    readonly upstream: UpstreamId;
    readonly before: ListedUpstream | undefined;
    readonly after: ListedUpstream | undefined;
    readonly revision: number;
}

/** Options of {@link UpstreamDirectory}. */
export interface UpstreamDirectoryOptions {
    readonly clock: Clock;
    /** Reads the text of a listing. */
    readonly read: (id: UpstreamId, text: string) => Checked<ListedUpstream>;
    /**
     * Milliseconds for which removals are doubtful, because the platform was away
     * just now and entries may have lapsed although their upstreams live; 0 when they are certain.
     */
    readonly doubtfulMs: () => number;
    /** Told of each change. */
    readonly onChange: (change: DirectoryChange) => void;
    /** Told when a removal that was doubted has turned out to be true. */
    readonly onDoubtEnded: () => void;
    /** Told of an availability zone that was taken out of service or put back. */
    readonly onZone: (change: ZoneListing) => void;
    /** Told of a listing that cannot be read: it names no upstream to use, whatever the one before it said. */
    readonly onInvalid: (id: UpstreamId, findings: readonly Finding[], revision: number) => void;
}

interface DoubtedRemoval {
    readonly removal: Listing;
    readonly untilMs: number;
}

interface Entry {
    readonly revision: number;
    readonly text: string | undefined;
    readonly upstream: ListedUpstream | undefined;
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
    private readonly zones = new ZoneListings();
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
    get upstreams(): readonly ListedUpstream[] {
        return [...this.entries.values()].flatMap(entry => entry.upstream ?? []);
    }

    /** The listed upstreams whose availability zone is in service: only they get requests. */
    get inService(): readonly ListedUpstream[] {
        return this.upstreams.filter(({ availabilityZone }) => !this.zones.isOut(availabilityZone));
    }

    /** The availability zones that are out of service. */
    get zonesOut(): readonly string[] {
        return this.zones.out;
    }

    /** Takes in news from any source. */
    takeIn(news: DirectoryNews): void {
        this.zones.takeIn(news, this.known).forEach(change => this.options.onZone(change));
        const removals = [...news.listings.filter(listing => this.isRemoval(listing)), ...this.missingFrom(news)];
        const ownDoubtMs = Math.max(this.options.doubtfulMs(), this.areTooMany(removals) ? suddenGraceMs : 0);
        news.listings.filter(listing => !removals.includes(listing)).forEach(listing => this.put(listing));
        removals.forEach(removal => {
            this.doubt(removal, removal.doubtedMs ?? ownDoubtMs);
        });
        this.known = Math.max(this.known, news.revision);
        this.forgetOldRemovals();
    }

    /**
     * The news for an instance that knows every change up to a revision.
     *
     * @param revision - What it knows; 0 for nothing.
     */
    newsAfter(revision: number): DirectoryNews {
        const isWhole = revision === 0 || revision < this.known - rememberedRevisions;
        const kept = [...this.entries]
            .filter(([, entry]) => isWhole ? entry.text !== undefined : entry.revision > revision)
            .map(([upstream, entry]) => ({ upstream, revision: entry.revision, text: entry.text, doubtedMs: 0 }));
        const nowMs = this.options.clock.nowMs();
        const doubted = [...this.doubted.values()]
            .filter(({ removal }) => removal.revision > revision)
            .map(({ removal, untilMs }) => ({ ...removal, doubtedMs: Math.max(1, untilMs - nowMs) }));
        const zones = this.zones.after(revision, isWhole);
        return { revision: this.known, whole: isWhole, listings: [...kept, ...doubted], zones };
    }

    private put({ upstream, revision, text }: Listing): void {
        const before = this.entries.get(upstream);
        if (before !== undefined && before.revision >= revision) {
            return;
        }
        const after = text === undefined ? undefined : this.read(upstream, text, revision);
        this.entries.set(upstream, { revision, text, upstream: after });
        this.tell({ upstream, before: before?.upstream, after, revision });
    }

    private read(id: UpstreamId, text: string, revision: number): ListedUpstream | undefined {
        const { value, findings } = this.options.read(id, text);
        if (value === undefined) {
            this.options.onInvalid(id, findings, revision);
        }
        return value;
    }

    private isRemoval({ upstream, revision, text }: Listing): boolean {
        const before = this.entries.get(upstream);
        return text === undefined && before?.upstream !== undefined && before.revision < revision;
    }

    /** Removals of the upstreams that a whole read lacks. */
    private missingFrom(news: DirectoryNews): readonly Listing[] {
        if (!news.whole || news.revision < this.known) {
            return [];
        }
        const present = new Set(news.listings.map(listing => listing.upstream));
        return [...this.entries].flatMap(([upstream, entry]) =>
            entry.text !== undefined && !present.has(upstream) && entry.revision <= news.revision
                ? [{ upstream, revision: Math.max(entry.revision + 1, news.revision), text: undefined }]
                : []
        );
    }

    /** Whether so many upstreams that never said they leave are gone at once that a lapse is likelier. */
    private areTooMany(removals: readonly Listing[]): boolean {
        const sudden = removals.filter(({ upstream }) => this.entries.get(upstream)?.upstream?.leaving === false).length;
        return sudden >= minimumLapsed && sudden > this.upstreams.length * lapsedShare;
    }

    private doubt(removal: Listing, doubtMs: number): void {
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
                this.options.onDoubtEnded();
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
export const toListing = (upstream: string, revision: number, text: string | undefined, doubtedMs: number): Listing => ({
    upstream: upstreamId(upstream),
    revision,
    text,
    doubtedMs,
});
