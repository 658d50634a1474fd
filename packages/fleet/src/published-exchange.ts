/**
 * The published state in exchanges between instances: the configuration, the directory, and their staleness.
 *
 * @packageDocumentation
 */

import type { Directory, Document, ExchangeRequest, ExchangeResponse } from "@harrierhitch/protocol";
import { DirectReads } from "./direct-reads.js";
import { decodeDirectory, encodeDirectory } from "./directory-message.js";
import { DocumentExchange, isLarge } from "./document-exchange.js";
import type { ExchangeOptions } from "./exchange-options.js";
import { notifyShare } from "./staleness-tracker.js";

/** What an instance sends to one that lacks published state. */
export interface PublishedUpdate {
    readonly configurationDocuments: Document[];
    readonly directory: Directory;
}

/** Sends, merges and compares the published state. */
export class PublishedExchange {
    readonly documents: DocumentExchange;
    /** Reads from the platform in place of large documents from other instances. */
    readonly directReads: DirectReads;

    /** @param options - The local state and callbacks. */
    constructor(private readonly options: ExchangeOptions) {
        this.documents = new DocumentExchange(options);
        this.directReads = new DirectReads(options.mayReadPlatform);
    }

    /** Latest generation that this instance has, or has been told of and reads from the platform. */
    get announcedGeneration(): bigint {
        return BigInt(Math.max(this.generation, this.directReads.pendingGeneration));
    }

    /** The active generation; 0 without one. */
    get generation(): number {
        return this.options.activeConfiguration.current?.configuration.generation ?? 0;
    }

    /** Returns the changes that a requester lacks, without those that it reads from the platform. */
    updateFor({ configuration, directory, readsEdits, readsPlatform }: ExchangeRequest): PublishedUpdate {
        const documents = this.documents.missing(configuration, readsEdits);
        // What was published before a document must not be applied without it, so the directory waits, too.
        return readsPlatform && documents.some(isLarge)
            ? { configurationDocuments: [], directory: this.directoryMessage(Infinity) }
            : { configurationDocuments: documents, directory: this.directoryMessage(Number(directory?.revision ?? 0n)) };
    }

    /**
     * Whether a requester lacks changes, or its state is considerably more stale than the local one. A small difference in
     * staleness doesn't count, because it would end every subsequent long poll as well.
     */
    isBehind({ directory, configuration, readingGeneration }: ExchangeRequest): boolean {
        if (Number(readingGeneration) >= this.generation && readingGeneration > 0n) {
            return false;
        }
        const { directory: localDirectory, stalenessTracker, confirmMs } = this.options;
        const remoteStalenessMs = directory === undefined || directory.ageMs < 0 ? Infinity : directory.ageMs;
        const isMoreStale = remoteStalenessMs - stalenessTracker.stalenessMs > confirmMs * notifyShare;
        return Number(directory?.revision ?? 0n) < localDirectory.revision
            || this.documents.lacks(configuration)
            || remoteStalenessMs > confirmMs && isMoreStale;
    }

    /** Requests a read if another instance knows of a newer document and has not sent it; returns whether one is being read. */
    requestDirectRead({ announcedGeneration, configurationDocuments }: ExchangeResponse): boolean {
        const announced = Number(announcedGeneration);
        const { directReads, generation, options: { stalenessTracker } } = this;
        if (configurationDocuments.length === 0 && announced > generation && directReads.isOffered(generation)) {
            directReads.request(announced);
            // Subscribers read the platform at the same time.
            stalenessTracker.notifyWaiters();
        }
        return directReads.pendingGeneration > 0;
    }

    /**
     * Merges the documents and the directory of another instance; not the directory without a document, which the platform would not send
     * again to an instance that has the directory's revision.
     */
    merge(peer: string, { configurationDocuments, directory }: ExchangeRequest | ExchangeResponse): void {
        if (configurationDocuments.every(document => this.documents.receive(peer, document))) {
            this.mergeDirectory(directory);
        }
    }

    private mergeDirectory(message: Directory | undefined): void {
        const { directory, onDirectory } = this.options;
        const update = message === undefined ? undefined : decodeDirectory(message);
        const isEmpty = update === undefined || update.entries.length === 0 && update.zones.length === 0;
        if (update === undefined || isEmpty && update.revision <= directory.revision) {
            return;
        }
        directory.merge(update);
        if (!isEmpty || update.isSnapshot) {
            onDirectory();
        }
    }

    /**
     * Adopts the staleness of a responding instance if this one lacks none of its changes; returns it, otherwise infinity.
     * The staleness in a request is not adopted, because the time that the request spent in transit is unknown.
     */
    mergeStaleness({ directory, configuration }: ExchangeResponse, transitMs: number): number {
        const { directory: localDirectory, stalenessTracker } = this.options;
        const isComplete = Number(directory?.revision ?? 0n) <= localDirectory.revision
            && Number(configuration?.number ?? 0n) <= this.generation;
        if (directory === undefined || directory.ageMs < 0 || !isComplete) {
            return Infinity;
        }
        stalenessTracker.confirm(directory.ageMs + transitMs);
        return directory.ageMs + transitMs;
    }

    /** Returns the directory message with the changes after a revision. */
    directoryMessage(revision: number): Directory {
        const { directory, stalenessTracker } = this.options;
        return encodeDirectory(directory, stalenessTracker.confirmedStalenessMs, revision);
    }
}
