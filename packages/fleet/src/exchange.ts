/**
 * The exchange of news between two instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import {
    type Directory,
    type Document,
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    type Member,
    type MemberCursor,
    Role,
} from "@harrierhitch/protocol";
import { missingDocuments, versionOf } from "./configuration-message.js";
import { encodeCrashRecords, mergeCrashRecords } from "./crash-message.js";
import { decodeDirectory, encodeDirectory } from "./directory-message.js";
import type { DistributionRoles } from "./distribution-roles.js";
import type { DrainGossip } from "./drain-gossip.js";
import type { ExchangeCallOptions, ExchangeResult, SendExchange } from "./exchange-call.js";
import type { FleetOptions } from "./fleet-options.js";
import type { GossipScope } from "./gossip-scope.js";
import { encodeLimits, mergeLimits } from "./limit-message.js";
import type { Members } from "./members.js";
import { notifyShare, type StalenessTracker } from "./staleness-tracker.js";

/** Options of {@link Exchange}; those of the fleet mean the same there. */
export interface ExchangeOptions extends
    Pick<
        FleetOptions,
        | "clock"
        | "fleet"
        | "directory"
        | "activeConfiguration"
        | "crashes"
        | "limits"
        | "onConfiguration"
        | "onDirectory"
        | "onDrainMessage"
    > {
    /** How old what is told is; brought up to date by what is heard. */
    readonly freshness: StalenessTracker;
    /** Time between two confirmations: knowledge that is older may have been confirmed meanwhile. */
    readonly confirmMs: number;
    readonly members: Members;
    readonly roles: DistributionRoles;
    readonly rumors: DrainGossip;
    /** Told when an exchange brought something that others should hear at once. */
    readonly onNews: (reach: GossipScope) => void;
    /** Told of members that have just said that they leave. */
    readonly onLeaving: (leaving: readonly Member[]) => void;
}

/** Longest time for which an answer is kept back, whatever is asked for. */
const maximumWaitMs = 5000;

/** Tells and takes in news, as the asking and as the asked side. */
export class Exchange {
    /** How far this instance has heard the news of members of each other one. */
    private readonly heard = new Map<string, MemberCursor>();
    /** How far it has told each of them its own. */
    private readonly told = new Map<string, MemberCursor>();
    /** What each of them has said that it withholds. */
    private readonly withheld = new Map<string, readonly string[]>();
    /** What each of them lacked of what is withheld when it was last told of it at once. */
    private readonly hurried = new Map<string, string>();

    /** @param options - What is told and taken in. */
    constructor(private readonly options: ExchangeOptions) {}

    /**
     * Exchanges news with one instance; documents that it lacks follow in a second request.
     *
     * @param send - Sends a request to it.
     * @param manner - How it is done.
     * @returns Who answered, and how old its knowledge is.
     */
    async initiate(send: SendExchange, manner: ExchangeCallOptions = {}): Promise<ExchangeResult> {
        const { clock } = this.options;
        const askedAtMs = clock.nowMs();
        const { request, told } = this.request([], this.directoryFor(Infinity), manner);
        const response = await send(request);
        const instance = response.sender?.instance ?? "";
        this.told.set(instance, told);
        this.takeIn(instance, response, manner.role !== undefined && manner.role !== Role.UNSPECIFIED);
        const ageMs = this.takeInAge(response, Math.max(0, clock.nowMs() - askedAtMs - response.heldMs));
        const documents = missingDocuments(this.options.activeConfiguration, response.configuration);
        const directory = this.directoryFor(Number(response.directory?.revision ?? 0n));
        if (documents.length > 0 || directory.listings.length > 0) {
            const second = this.request(documents, directory, { receiver: instance });
            this.takeIn(instance, await send(second.request));
        }
        return { instance, stalenessMs: ageMs };
    }

    /** Answers the exchange of another instance, at once where it lacks something. */
    async respond(request: ExchangeRequest): Promise<ExchangeResponse> {
        const asking = request.sender?.instance ?? "";
        this.takeIn(asking, request);
        const { clock, members, roles, rumors, crashes, limits, freshness } = this.options;
        if (request.role !== Role.UNSPECIFIED) {
            roles.recordRoleRequest(request.role);
        }
        const waits = request.waitMs > 0 && !this.isBehind(request) && !this.lacksWithheld(asking, request.withheld);
        const heldMs = waits ? await freshness.waitForChange(Math.min(request.waitMs, maximumWaitMs)) : 0;
        const news = members.updatesSince(request.heard, asking);
        return create(ExchangeResponseSchema, {
            sender: members.self,
            members: [...news.members],
            told: news.told,
            configuration: versionOf(this.options.activeConfiguration),
            configurationDocuments: missingDocuments(this.options.activeConfiguration, request.configuration),
            observations: request.brief ? [] : [...rumors.pending()],
            directory: this.directoryFor(Number(request.directory?.revision ?? 0n)),
            heldMs,
            limits: encodeLimits(limits, request.brief),
            ...encodeCrashRecords(crashes, clock.nowMs(), request.withheld, request.brief),
        });
    }

    /**
     * Whether an instance that asks lacks something, or could be told at once that its knowledge is much younger than it
     * seems. A little younger is not enough: its next question would be answered for the same reason.
     */
    private isBehind({ directory, configuration }: ExchangeRequest): boolean {
        const { directory: own, freshness, confirmMs } = this.options;
        const ageMs = directory === undefined || directory.ageMs < 0 ? Infinity : directory.ageMs;
        const isYounger = ageMs - freshness.stalenessMs > confirmMs * notifyShare;
        return Number(directory?.revision ?? 0n) < own.revision
            || missingDocuments(this.options.activeConfiguration, configuration).length > 0
            || ageMs > confirmMs && isYounger;
    }

    /**
     * Whether an instance that asks lacks a request that is withheld here. It is answered at once for one difference only
     * once: where two see the same runs differently, its next question would be answered for the same reason.
     */
    private lacksWithheld(asking: string, withheld: readonly string[]): boolean {
        const lacking = [...this.options.crashes.missingQuarantines(withheld)].sort().join();
        const isNew = lacking !== "" && this.hurried.get(asking) !== lacking;
        if (isNew) {
            this.hurried.set(asking, lacking);
        }
        return isNew;
    }

    private request(
        configurationDocuments: Document[],
        directory: Directory,
        { longPollMs: waitMs = 0, isDelta: isBrief = false, role = Role.UNSPECIFIED, receiver = "" }: ExchangeCallOptions = {},
    ): { readonly request: ExchangeRequest; readonly told: MemberCursor; } {
        const { clock, fleet, members, rumors, crashes, limits } = this.options;
        const news = members.updatesSince(this.told.get(receiver), receiver);
        const heard = this.heard.get(receiver);
        const request = create(ExchangeRequestSchema, {
            fleet,
            sender: members.self,
            members: [...news.members],
            configuration: versionOf(this.options.activeConfiguration),
            configurationDocuments,
            observations: isBrief ? [] : [...rumors.pending()],
            directory,
            waitMs,
            brief: isBrief,
            role,
            limits: encodeLimits(limits, isBrief),
            ...(heard && { heard }),
            ...encodeCrashRecords(crashes, clock.nowMs(), this.withheld.get(receiver) ?? [], isBrief),
        });
        return { request, told: news.told };
    }

    private takeIn(source: string, news: ExchangeRequest | ExchangeResponse, isFromSource = false): void {
        const {
            clock,
            members,
            rumors,
            crashes,
            limits,
            activeConfiguration: accepted,
            directory,
            onConfiguration,
            onDrainMessage: onRumor,
            onNews,
            onLeaving,
        } = this.options;
        const told = news.sender === undefined ? news.members : [news.sender, ...news.members];
        const leaving = told.filter(member => member.leaving && members.stateOf(member.instance) !== "left");
        const generationBefore = accepted.current?.configuration.generation;
        const revisionBefore = directory.revision;
        this.forgetRestarted(news.sender);
        members.merge(told, source);
        if (news.$typeName === ExchangeResponseSchema.typeName && news.told !== undefined) {
            this.heard.set(source, news.told);
        }
        news.configurationDocuments.forEach(document => onConfiguration(source, document.text));
        this.takeInDirectory(news.directory);
        const heard = rumors.merge(news.observations);
        heard.forEach(onRumor);
        this.withheld.set(source, news.withheld);
        const isLimitNews = mergeLimits(limits, news.limits);
        const isUrgent = mergeCrashRecords(crashes, news, clock.nowMs()) || heard.length > 0 || isLimitNews;
        if (leaving.length > 0) {
            onLeaving(leaving);
        }
        if (
            isUrgent || generationBefore !== accepted.current?.configuration.generation
            || revisionBefore !== directory.revision
        ) {
            // What a source tells, it tells everyone who asks it.
            const reach = isFromSource ? "followers" : "links";
            onNews(isUrgent ? "everyone" : reach);
        }
    }

    /** A run of an instance that has just begun has heard nothing of what the one before was told. */
    private forgetRestarted(sender: Member | undefined): void {
        if (sender !== undefined && this.options.members.find(sender.instance)?.incarnation !== sender.incarnation) {
            this.told.delete(sender.instance);
        }
    }

    private takeInDirectory(message: Directory | undefined): void {
        const { directory, onDirectory } = this.options;
        const news = message === undefined ? undefined : decodeDirectory(message);
        const isEmpty = news === undefined || news.entries.length === 0 && news.zones.length === 0;
        if (news === undefined || isEmpty && news.revision <= directory.revision) {
            return;
        }
        directory.merge(news);
        if (!isEmpty || news.isSnapshot) {
            onDirectory();
        }
    }

    /**
     * Takes over how old another instance's knowledge is, if this one lacks nothing of it. Only answers
     * count, whose way here took at most the time since the question; a request may have been held up on its way.
     *
     * @returns That age in milliseconds; infinite where it says nothing of what this instance knows.
     */
    private takeInAge({ directory, configuration }: ExchangeResponse, wayMs: number): number {
        const { activeConfiguration: accepted, directory: own, freshness } = this.options;
        const generation = accepted.current?.configuration.generation ?? 0;
        const lacksNothing = Number(directory?.revision ?? 0n) <= own.revision
            && Number(configuration?.number ?? 0n) <= generation;
        if (directory === undefined || directory.ageMs < 0 || !lacksNothing) {
            return Infinity;
        }
        freshness.confirm(directory.ageMs + wayMs);
        return directory.ageMs + wayMs;
    }

    /** What is known of the directory, with the changes that an instance lacks that knows it up to a revision. */
    private directoryFor(revision: number): Directory {
        const { directory, freshness } = this.options;
        return encodeDirectory(directory, freshness.confirmedStalenessMs, revision);
    }
}
