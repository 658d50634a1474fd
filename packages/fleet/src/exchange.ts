/**
 * The exchange of state between two instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Directory, Document, ExchangeRequest, ExchangeResponse, MemberCursor } from "@harrierhitch/protocol";
import { ExchangeRequestSchema, ExchangeResponseSchema, Role } from "@harrierhitch/protocol";
import { versionOf } from "./configuration-message.js";
import { encodeCrashRecords, mergeCrashRecords } from "./crash-message.js";
import type { DirectReads } from "./direct-reads.js";
import { hasChanges } from "./directory-message.js";
import type { ExchangeCallOptions, ExchangeResult, SendExchange } from "./exchange-call.js";
import type { ExchangeOptions } from "./exchange-options.js";
import { encodeLimits, mergeLimits } from "./limit-message.js";
import { PublishedExchange } from "./published-exchange.js";
import { QuarantineNotices } from "./quarantine-notices.js";
import { SentCursors } from "./sent-cursors.js";

/** Maximum duration of a long poll in milliseconds, whatever the request specifies. */
const maximumLongPollMs = 5000;

/** Exchanges state with other instances, as the client and as the server. */
export class Exchange {
    /** Position up to which each peer's membership updates were received. */
    private readonly receivedCursors = new Map<string, MemberCursor>();
    private readonly sentCursors: SentCursors;
    /** Requests that each peer quarantines. */
    private readonly quarantines = new Map<string, readonly string[]>();
    private readonly quarantineNotices: QuarantineNotices;

    private readonly published: PublishedExchange;

    /** @param options - Local state and callbacks. */
    constructor(private readonly options: ExchangeOptions) {
        this.sentCursors = new SentCursors(options.members);
        this.published = new PublishedExchange(options);
        this.quarantineNotices = new QuarantineNotices(options.crashes);
    }

    /** Reads from the platform in place of large documents from other instances. */
    get directReads(): DirectReads {
        return this.published.directReads;
    }

    /**
     * Exchanges state with one instance. Documents and directory changes that it lacks follow in a second request.
     *
     * @param send - Sends a request to the instance.
     * @param callOptions - Options of the exchange.
     * @returns The instance that responded, and the staleness of its state.
     */
    async initiate(send: SendExchange, callOptions: ExchangeCallOptions = {}): Promise<ExchangeResult> {
        const { clock } = this.options;
        const startedAtMs = clock.nowMs();
        const sentBefore = this.sentCursors.get(callOptions.receiver ?? "");
        const { request, sentCursor } = this.request([], this.published.directoryMessage(Infinity), callOptions);
        const response = await send(request);
        const instance = response.sender?.instance ?? "";
        if (response.sender !== undefined) {
            this.sentCursors.record(response.sender, sentBefore, sentCursor);
        }
        this.merge(instance, response, callOptions.role !== undefined && callOptions.role !== Role.UNSPECIFIED);
        const isReadDirectly = this.published.requestDirectRead(response);
        const transitMs = Math.max(0, clock.nowMs() - startedAtMs - response.heldMs);
        const stalenessMs = this.published.mergeStaleness(response, transitMs);
        const documents = this.published.documents.missing(response.configuration, response.readsEdits);
        const directory = this.published.directoryMessage(Number(response.directory?.revision ?? 0n));
        if (documents.length > 0 || hasChanges(directory)) {
            const second = this.request(documents, directory, { receiver: instance });
            this.merge(instance, await send(second.request));
        }
        return { instance, stalenessMs, transitMs, isReadDirectly };
    }

    /** Responds to the exchange of another instance: at once if it lacks changes, otherwise on the next change or timeout. */
    async respond(request: ExchangeRequest): Promise<ExchangeResponse> {
        const requester = request.sender?.instance ?? "";
        this.merge(requester, request);
        const { clock, members, roles, drainGossip, crashes, limits, stalenessTracker } = this.options;
        if (request.role !== Role.UNSPECIFIED) {
            roles.recordRoleRequest(request.role);
        }
        const mayWait = request.waitMs > 0 && !this.published.isBehind(request)
            && !this.quarantineNotices.isDue(requester, request.withheld);
        const heldMs = mayWait ? await stalenessTracker.waitForChange(Math.min(request.waitMs, maximumLongPollMs)) : 0;
        const updates = members.updatesSince(request.heard, requester);
        return create(ExchangeResponseSchema, {
            sender: members.self,
            members: [...updates.members],
            told: updates.cursor,
            configuration: versionOf(this.options.activeConfiguration),
            ...this.published.updateFor(request),
            readsEdits: this.published.documents.readsEdits,
            announcedGeneration: this.published.announcedGeneration,
            observations: request.brief ? [] : [...drainGossip.pending()],
            heldMs,
            limits: encodeLimits(limits, request.brief),
            ...encodeCrashRecords(crashes, clock.nowMs(), request.withheld, request.brief),
        });
    }

    private request(
        configurationDocuments: Document[],
        directory: Directory,
        { longPollMs = 0, isDelta = false, role = Role.UNSPECIFIED, receiver = "" }: ExchangeCallOptions = {},
    ): { readonly request: ExchangeRequest; readonly sentCursor: MemberCursor; } {
        const { clock, fleet, members, drainGossip, crashes, limits } = this.options;
        const updates = members.updatesSince(this.sentCursors.get(receiver), receiver);
        const receivedCursor = this.receivedCursors.get(receiver);
        const request = create(ExchangeRequestSchema, {
            fleet,
            sender: members.self,
            members: [...updates.members],
            configuration: versionOf(this.options.activeConfiguration),
            configurationDocuments,
            readsEdits: this.published.documents.readsEdits,
            readsPlatform: this.published.directReads.isOffered(this.published.generation),
            readingGeneration: BigInt(this.published.directReads.pendingGeneration),
            observations: isDelta ? [] : [...drainGossip.pending()],
            directory,
            waitMs: longPollMs,
            brief: isDelta,
            role,
            limits: encodeLimits(limits, isDelta),
            ...(receivedCursor && { heard: receivedCursor }),
            ...encodeCrashRecords(crashes, clock.nowMs(), this.quarantines.get(receiver) ?? [], isDelta),
        });
        return { request, sentCursor: updates.cursor };
    }

    private merge(peer: string, message: ExchangeRequest | ExchangeResponse, isFromDistributor = false): void {
        const {
            clock,
            members,
            drainGossip,
            crashes,
            limits,
            directory,
            onDrainMessage,
            onUpdate,
            onLeaving,
        } = this.options;
        const updates = message.sender === undefined ? message.members : [message.sender, ...message.members];
        const leaving = updates.filter(member => member.leaving && members.stateOf(member.instance) !== "left");
        const generationBefore = this.published.generation;
        const revisionBefore = directory.revision;
        members.merge(updates, peer);
        if (message.$typeName === ExchangeResponseSchema.typeName && message.told !== undefined) {
            this.receivedCursors.set(peer, message.told);
        }
        this.published.merge(peer, message);
        const drainMessages = drainGossip.merge(message.observations);
        drainMessages.forEach(onDrainMessage);
        this.quarantines.set(peer, message.withheld);
        const hasNewLimits = mergeLimits(limits, message.limits);
        const isUrgent = mergeCrashRecords(crashes, message, clock.nowMs()) || drainMessages.length > 0 || hasNewLimits;
        if (leaving.length > 0) {
            onLeaving(leaving);
        }
        if (
            isUrgent || generationBefore !== this.published.generation
            || revisionBefore !== directory.revision
        ) {
            // Peers on links receive the changes of a distributor from their own distributors.
            const scope = isFromDistributor ? "subscribers" : "links";
            onUpdate(isUrgent ? "all" : scope);
        }
    }
}
