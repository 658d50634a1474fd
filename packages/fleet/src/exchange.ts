/**
 * The exchange of news between two instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import {
    type Directory,
    DirectorySchema,
    type Document,
    DocumentSchema,
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    ListingSchema,
    type Version,
    VersionSchema,
} from "@harrierhitch/protocol";
import type { FleetOptions } from "./fleet-options.js";
import type { Freshness } from "./freshness.js";
import type { Members } from "./members.js";
import type { Rumors } from "./rumors.js";
import { toListing } from "./upstream-directory.js";

/** Options of {@link Exchange}; those of the fleet mean the same there. */
export interface ExchangeOptions
    extends Pick<FleetOptions, "clock" | "fleet" | "directory" | "accepted" | "onConfiguration" | "onDirectory" | "onRumor"> {
    /** How old what is told is; brought up to date by what is heard. */
    readonly freshness: Freshness;
    readonly members: Members;
    readonly rumors: Rumors;
    /** Told when an exchange brought something that others should hear at once; what no reader tells is urgent. */
    readonly onNews: (isUrgent: boolean) => void;
}

/** Longest time for which an answer is kept back, whatever is asked for. */
const maximumWaitMs = 5000;

/** How an exchange is done. */
export interface ExchangeManner {
    /** Longest time for which the other instance may wait for something new to tell. */
    readonly waitMs?: number;
    /** Whether members and observations are left out, which are most of the work of an exchange. */
    readonly isBrief?: boolean;
}

/** Sends a request to one instance. */
export type SendExchange = (request: ExchangeRequest) => Promise<ExchangeResponse>;

/** Tells and takes in news, as the asking and as the asked side. */
export class Exchange {
    /** @param options - What is told and taken in. */
    constructor(private readonly options: ExchangeOptions) {}

    /**
     * Exchanges news with one instance; documents that it lacks follow in a second request.
     *
     * @param send - Sends a request to it.
     * @param manner - How it is done.
     */
    async with(send: SendExchange, { waitMs = 0, isBrief = false }: ExchangeManner = {}): Promise<void> {
        const { clock } = this.options;
        const askedAtMs = clock.nowMs();
        const response = await send(this.request([], this.directoryFor(Infinity), { waitMs, isBrief }));
        this.takeIn(response.sender?.instance ?? "", response);
        this.takeInAge(response, Math.max(0, clock.nowMs() - askedAtMs - response.heldMs));
        const documents = this.documentsFor(response.configuration);
        const directory = this.directoryFor(Number(response.directory?.revision ?? 0n));
        if (documents.length > 0 || directory.listings.length > 0) {
            this.takeIn(response.sender?.instance ?? "", await send(this.request(documents, directory)));
        }
    }

    /** Answers the exchange of another instance, at once where it lacks something. */
    async answer(request: ExchangeRequest): Promise<ExchangeResponse> {
        this.takeIn(request.sender?.instance ?? "", request);
        const { members, rumors, freshness } = this.options;
        const waits = request.waitMs > 0 && !this.isBehind(request);
        const heldMs = waits ? await freshness.next(Math.min(request.waitMs, maximumWaitMs)) : 0;
        return create(ExchangeResponseSchema, {
            sender: members.self,
            members: request.brief ? [] : [...members.news()],
            configuration: this.version(),
            configurationDocuments: this.documentsFor(request.configuration),
            observations: request.brief ? [] : [...rumors.news()],
            directory: this.directoryFor(Number(request.directory?.revision ?? 0n)),
            heldMs,
        });
    }

    private isBehind({ directory, configuration }: ExchangeRequest): boolean {
        return Number(directory?.revision ?? 0n) < this.options.directory.revision || this.documentsFor(configuration).length > 0;
    }

    private request(
        configurationDocuments: Document[],
        directory: Directory,
        { waitMs = 0, isBrief = false }: ExchangeManner = {},
    ): ExchangeRequest {
        const { fleet, members, rumors } = this.options;
        return create(ExchangeRequestSchema, {
            fleet,
            sender: members.self,
            members: isBrief ? [] : [...members.news()],
            configuration: this.version(),
            configurationDocuments,
            observations: isBrief ? [] : [...rumors.news()],
            directory,
            waitMs,
            brief: isBrief,
        });
    }

    private takeIn(source: string, news: ExchangeRequest | ExchangeResponse): void {
        const { members, rumors, accepted, directory, onConfiguration, onRumor, onNews } = this.options;
        const told = news.sender === undefined ? news.members : [news.sender, ...news.members];
        const leaving = told.filter(member => member.leaving && members.stateOf(member.instance) !== "left");
        const generationBefore = accepted.inForce?.configuration.generation;
        const revisionBefore = directory.revision;
        members.merge(told);
        news.configurationDocuments.forEach(document => onConfiguration(source, document.text));
        this.takeInDirectory(news.directory);
        const heard = rumors.merge(news.observations);
        heard.forEach(onRumor);
        const isNewer = generationBefore !== accepted.inForce?.configuration.generation || revisionBefore !== directory.revision;
        if (heard.length > 0 || leaving.length > 0 || isNewer) {
            onNews(heard.length > 0);
        }
    }

    private takeInDirectory(news: Directory | undefined): void {
        const { directory, onDirectory } = this.options;
        if (news?.complete !== true || news.listings.length === 0 && Number(news.revision) <= directory.revision) {
            return;
        }
        const listings = news.listings.map(({ upstream, revision, text, removed, doubtedMs }) =>
            toListing(upstream, Number(revision), removed ? undefined : text, doubtedMs)
        );
        directory.takeIn({ revision: Number(news.revision), whole: news.whole, listings });
        if (listings.length > 0) {
            onDirectory();
        }
    }

    /**
     * Takes over how old another instance's knowledge is, if this one lacks nothing of it. Only answers
     * count, whose way here took at most the time since the question; a request may have been held up on its way.
     */
    private takeInAge({ directory, configuration }: ExchangeResponse, wayMs: number): void {
        const { accepted, directory: own, freshness } = this.options;
        const generation = accepted.inForce?.configuration.generation ?? 0;
        const lacksNothing = Number(directory?.revision ?? 0n) <= own.revision
            && Number(configuration?.number ?? 0n) <= generation;
        if (directory !== undefined && directory.ageMs >= 0 && lacksNothing) {
            freshness.confirm(directory.ageMs + wayMs);
        }
    }

    /** What is known of the directory, with the changes that an instance lacks that knows it up to a revision. */
    private directoryFor(revision: number): Directory {
        const { directory, freshness } = this.options;
        const known = { revision: BigInt(directory.revision), ageMs: freshness.knownAgeMs ?? -1 };
        if (directory.revision <= revision) {
            return create(DirectorySchema, { ...known, complete: revision < Infinity });
        }
        const { whole, listings } = directory.newsAfter(revision);
        return create(DirectorySchema, {
            ...known,
            whole,
            complete: true,
            listings: listings.map(({ upstream, revision: at, text, doubtedMs = 0 }) =>
                create(ListingSchema, {
                    upstream,
                    revision: BigInt(at),
                    text: text ?? "",
                    removed: text === undefined,
                    doubtedMs,
                })
            ),
        });
    }

    private version(): Version {
        const configuration = this.options.accepted.inForce?.configuration;
        return create(VersionSchema, {
            number: BigInt(configuration?.generation ?? 0),
            hash: configuration?.hash ?? "",
        });
    }

    /** The configuration, if another instance lacks it by the version it told. */
    private documentsFor(other: Version | undefined): Document[] {
        const { inForce } = this.options.accepted;
        const own = this.version();
        // Of two contents under one generation the lower hash wins.
        return inForce !== undefined && isAhead(own, other, (a, b) => a < b)
            ? [create(DocumentSchema, { version: own, text: inForce.text })]
            : [];
    }
}

const isAhead = (own: Version, other: Version | undefined, winsTie: (a: string, b: string) => boolean): boolean => {
    if (other === undefined || own.number !== other.number) {
        return own.number > (other?.number ?? 0n);
    }
    return own.hash !== other.hash && winsTie(own.hash, other.hash);
};
