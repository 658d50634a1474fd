/**
 * What the platform publishes, behind an interface.
 *
 * @packageDocumentation
 */

import type { CheckResult, Configuration, DiscoveredUpstream, ServicePolicy } from "@harrierhitch/configuration";
import { HarrierhitchError, type UpstreamId } from "@harrierhitch/core";
import type { DirectoryEntry, ZoneStatus } from "@harrierhitch/published";
import type { HeaderProtocol } from "../request/header-protocol.js";

/** What a read or a watch of the platform tells. */
export interface Publication {
    /** Revision up to which everything is included. */
    readonly revision: number;
    /** The published configuration; `undefined` when there is none, or none that is new. */
    readonly configuration: string | undefined;
    /** Listed upstreams: all of them after a read, those that changed after a watch. */
    readonly listings: readonly DirectoryEntry[];
    /** Availability zones out of service: all of them after a read, those that changed after a watch. */
    readonly zones: readonly ZoneStatus[];
}

/** The platform: it can be read and watched, never written. */
export interface Platform {
    /**
     * Reads all that is published.
     *
     * @param signal - Ends the read.
     * @param mayBeStale - Whether an answer from a few seconds ago will do.
     * @throws {@link PlatformError} when the platform does not answer properly.
     */
    read(signal: AbortSignal, mayBeStale: boolean): Promise<Publication>;

    /**
     * Waits until something changes.
     *
     * @param revision - The revision that is already known.
     * @param signal - Ends the watch.
     * @param waitMs - Longest time to wait for a change; 0 only tells what has changed.
     * @returns What changed; nothing when nothing changed in that time.
     * @throws {@link HistoryLostError} when the changes since that revision are no longer known.
     * @throws {@link PlatformError} when the platform does not answer properly.
     */
    watch(revision: number, signal: AbortSignal, waitMs: number): Promise<Publication>;
}

/** The platform did not answer, or not as agreed. */
export class PlatformError extends HarrierhitchError {
    readonly code: string = "platform";
}

/** The platform no longer knows what changed since a revision: everything must be read again. */
export class HistoryLostError extends PlatformError {
    override readonly code = "history-lost";
}

/** Options that every platform is opened with. */
export interface PlatformOptions {
    /** Addresses as `IP:port`, tried in turn. */
    readonly addresses: readonly string[];
    readonly configurationKey: string;
    readonly readTimeoutMs: number;
    /** Called once for each call to the platform, for counting. */
    readonly onCall: (kind: "read" | "watch") => void;
    /** Told of an item that cannot be read, and is left out. */
    readonly onInvalidItem: (key: string, revision: number | undefined, detail: string) => void;
}

/** Options of the syntax in which a platform publishes. */
export interface DocumentParserOptions {
    /** Policies that every configuration may name. */
    readonly policies: ReadonlyMap<string, ServicePolicy>;
}

/** Reads what the platform publishes. The result depends on the text alone, so that every instance judges it alike. */
export interface DocumentParser {
    /** Reads and checks a configuration. */
    parseConfiguration(source: string, text: string): CheckResult<Configuration>;
    /** Reads and checks a listed upstream. */
    parseUpstream(id: UpstreamId, text: string): CheckResult<DiscoveredUpstream>;
}

/** Everything in which one platform differs from another. */
export interface PlatformAdapter {
    /** Opens the way to the platform. */
    open(options: PlatformOptions): Platform;
    /** Makes the reader of what it publishes. */
    createParser(options: DocumentParserOptions): DocumentParser;
    /** How callers and upstreams say things in headers. */
    readonly headerProtocol: HeaderProtocol;
}
