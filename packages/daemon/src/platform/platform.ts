/**
 * Interface to the platform that publishes configuration and upstreams.
 *
 * @packageDocumentation
 */

import type { CheckResult, Configuration, DiscoveredUpstream, ServicePolicy } from "@harrierhitch/configuration";
import { HarrierhitchError, type UpstreamId } from "@harrierhitch/core";
import type { DirectoryEntry, ZoneStatus } from "@harrierhitch/published";
import type { HeaderProtocol } from "../request/header-protocol.js";

/** Result of a read or a watch. */
export interface Publication {
    /** Revision up to which all changes are included. */
    readonly revision: number;
    /** The published configuration; `undefined` if there is none or it has not changed. */
    readonly configuration: string | undefined;
    /** Discovered upstreams: all of them after a read, the changed ones after a watch. */
    readonly listings: readonly DirectoryEntry[];
    /** Availability zones out of service: all of them after a read, the changed ones after a watch. */
    readonly zones: readonly ZoneStatus[];
    /**
     * Time for which the platform holds a call before it responds that nothing has changed, in milliseconds: all changes until its end are
     * included. 0 by default: then only those before the request certainly are.
     */
    readonly heldMs?: number;
}

/** Read-only access to the platform. */
export interface Platform {
    /**
     * Reads everything that is published.
     *
     * @param signal - Cancels the read.
     * @param mayBeStale - Whether a result that is a few seconds old is acceptable.
     * @param onResponse - Called when the first bytes of a response arrive.
     * @throws {@link PlatformError} if the call fails or the response is invalid.
     */
    read(signal: AbortSignal, mayBeStale: boolean, onResponse?: () => void): Promise<Publication>;

    /**
     * Waits for changes.
     *
     * @param revision - The revision that the caller already has.
     * @param signal - Cancels the watch.
     * @param longPollMs - Longest time to wait for a change, in milliseconds; 0 returns the changes so far.
     * @param onResponse - Called when the first bytes of the response arrive.
     * @param isOnNewConnection - Whether to open a connection for this call, because a kept one may have fallen silent.
     * @returns The changes; none if nothing changed within that time.
     * @throws {@link HistoryLostError} if the changes since that revision are no longer available.
     * @throws {@link UnusablePublicationError} if the response cannot be used.
     * @throws {@link PlatformError} if the call fails or the response is invalid.
     */
    watch(
        revision: number,
        signal: AbortSignal,
        longPollMs: number,
        onResponse?: () => void,
        isOnNewConnection?: boolean,
    ): Promise<Publication>;
}

/** A call to the platform failed or its response was invalid. */
export class PlatformError extends HarrierhitchError {
    readonly code: string = "platform";
}

/** The changes since a revision are no longer available; a full read is required. */
export class HistoryLostError extends PlatformError {
    override readonly code = "history-lost";
}

/** A response began to arrive but cannot be used: it is not complete or not valid. The same call may fail in the same way. */
export class UnusablePublicationError extends PlatformError {
    override readonly code: string = "unusable-publication";
}

/** A response exceeds the limit. A later watch from the same revision returns the same changes, and more. */
export class OversizedPublicationError extends UnusablePublicationError {
    override readonly code = "oversized-publication";
}

export interface PlatformOptions {
    /** Addresses as `IP:port`, tried in order. */
    readonly addresses: readonly string[];
    readonly configurationKey: string;
    readonly readTimeoutMs: number;
    /** Called for each call to the platform, for metrics. */
    readonly onCall: (kind: "read" | "watch") => void;
    /** Called for an item that cannot be parsed and is ignored. */
    readonly onInvalidItem: (key: string, revision: number | undefined, detail: string) => void;
}

export interface DocumentParserOptions {
    /** Policies that any configuration can refer to by name. */
    readonly policies: ReadonlyMap<string, ServicePolicy>;
}

/** Parses published documents. Results depend only on the text, so all instances agree on them. */
export interface DocumentParser {
    parseConfiguration(source: string, text: string): CheckResult<Configuration>;
    parseUpstream(id: UpstreamId, text: string): CheckResult<DiscoveredUpstream>;
}

/** Everything that is specific to a platform. */
export interface PlatformAdapter {
    open(options: PlatformOptions): Platform;
    createParser(options: DocumentParserOptions): DocumentParser;
    /** Headers that callers and upstreams use. */
    readonly headerProtocol: HeaderProtocol;
}
