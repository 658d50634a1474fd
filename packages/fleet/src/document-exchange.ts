/**
 * The configuration documents in messages between instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type ConfigurationVersion, lazyDocumentHash } from "@harrierhitch/configuration";
import { type Document, DocumentSchema, type Version } from "@harrierhitch/protocol";
import type { LoadedConfiguration } from "@harrierhitch/published";
import { takesPrecedence, versionOf } from "./configuration-message.js";
import { applyEdits, DocumentEditsError, encodeEdits } from "./document-edits.js";
import type { FleetOptions } from "./fleet-options.js";

/** Size of edits from which instances read the platform themselves, in bytes; a relay sends twelve of this size in 0.2 s. */
const largeEditsBytes = 16_384;

/** Whether a document takes long over the links of readers and relays. */
export const isLarge = ({ edits }: Document): boolean => edits.length >= largeEditsBytes;

/** Options of {@link DocumentExchange}; see {@link FleetOptions}. */
export type DocumentExchangeOptions = Pick<FleetOptions, "activeConfiguration" | "onConfiguration" | "onUnreadableDocument">;

/**
 * Encodes documents for other instances and restores those that they send. A document is sent as edits of the version that the
 * receiver has: a link of an entry instance takes a fraction of a second for the whole text, and serves many receivers.
 */
export class DocumentExchange {
    /** The active document by the version that its edits apply to. */
    private readonly encoded = new Map<string, Document>();
    private encodedFor: ConfigurationVersion | undefined;
    private canReadEdits = true;

    /** @param options - The active configuration, and what receives documents. */
    constructor(private readonly options: DocumentExchangeOptions) {}

    /** Whether other instances may send edits; not after edits that could not be restored. */
    get readsEdits(): boolean {
        return this.canReadEdits;
    }

    /** Whether the active configuration takes precedence over the version of another instance. */
    lacks(remote: Version | undefined): boolean {
        return this.options.activeConfiguration.current !== undefined
            && takesPrecedence(versionOf(this.options.activeConfiguration), remote);
    }

    /**
     * Returns the active configuration if it takes precedence over the version of another instance.
     *
     * @param remote - Its version.
     * @param readsEdits - Whether it reads edits.
     */
    missing(remote: Version | undefined, readsEdits: boolean): Document[] {
        const { current } = this.options.activeConfiguration;
        if (current === undefined || !this.lacks(remote)) {
            return [];
        }
        const version = versionOf(this.options.activeConfiguration);
        return readsEdits ? [this.edited(current, version, remote)] : [create(DocumentSchema, { version, text: current.text })];
    }

    /**
     * Restores a received document and passes it on; reports one that cannot be restored, and accepts no edits any more.
     *
     * @returns Whether it was restored.
     */
    receive(peer: string, document: Document): boolean {
        const { onConfiguration, onUnreadableDocument } = this.options;
        try {
            onConfiguration(peer, this.textOf(document));
            return true;
        }
        catch (thrown) {
            if (!(thrown instanceof DocumentEditsError)) {
                throw thrown;
            }
            this.canReadEdits = false;
            onUnreadableDocument(peer, thrown);
            return false;
        }
    }

    private textOf({ version, text, base, edits }: Document): string {
        if (edits.length === 0) {
            return text;
        }
        const restored = applyEdits(this.baseText(base), edits);
        if (lazyDocumentHash(restored)() !== version?.hash) {
            throw new DocumentEditsError("the edits yield another document");
        }
        return restored;
    }

    private edited(current: LoadedConfiguration, version: Version, remote: Version | undefined): Document {
        if (this.encodedFor !== current.configuration.version) {
            this.encodedFor = current.configuration.version;
            this.encoded.clear();
        }
        const baseText = remote === undefined
            ? undefined
            : this.options.activeConfiguration.textOf(Number(remote.number), remote.hash);
        const base = baseText === undefined ? undefined : remote;
        const key = base?.hash ?? "";
        const known = this.encoded.get(key);
        if (known !== undefined) {
            return known;
        }
        const document = create(DocumentSchema, {
            version,
            ...(base && { base }),
            edits: encodeEdits(baseText ?? "", current.text),
        });
        this.encoded.set(key, document);
        return document;
    }

    private baseText(base: Version | undefined): string {
        if (base === undefined) {
            return "";
        }
        const text = this.options.activeConfiguration.textOf(Number(base.number), base.hash);
        if (text === undefined) {
            throw new DocumentEditsError(`the edits apply to generation ${base.number}, which is not known here any more`);
        }
        return text;
    }
}
