/**
 * Options of the watcher of the platform.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource } from "@harrierhitch/core";
import type { Platform, Publication } from "./platform.js";

/** Kind of a publication: a snapshot that may be a few seconds old, a current snapshot, or the changes since a revision. */
export type PublicationKind = "stale-snapshot" | "snapshot" | "changes";

/** Options of `PlatformWatcher`. */
export interface PlatformWatcherOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Delay before a retry while the platform is unavailable, in milliseconds. */
    readonly retryMs: () => number;
    /** Milliseconds until the next call to the platform is due; 0 if it is due now. */
    readonly dueInMs: () => number;
    /** Longest duration of a long poll, in milliseconds. */
    readonly longPollMs: () => number;
    /** Minimum interval between calls, in milliseconds, so that changes in quick succession are fetched together. */
    readonly batchMs: number;
    /** Revision up to which all changes have been applied, whatever their source. */
    readonly appliedRevision: () => number;
    /** Receives the result of a call; it is complete as of `asOfMs`. */
    readonly onPublication: (publication: Publication, kind: PublicationKind, asOfMs: number) => void;
    /** Whether a watch without an answer may be repeated; not if the answer may have arrived, or the platform is known not to respond. */
    readonly mayRepeat: () => boolean;
    /** Called before a response is applied, and when a call has failed, to detect a stall meanwhile. */
    readonly checkForStall: () => void;
    /** Called when a result was applied, or a call failed. */
    readonly onCallEnd: () => void;
    /** Called when the platform has failed after a success, or at the first call. */
    readonly onUnavailable: (error: Error) => void;
    /** Called when the changes since a revision cannot be used, so that the current state is read in their place. */
    readonly onUnusableChanges: (error: Error, revision: number) => void;
    /** Called when the platform responds again. */
    readonly onRecovered: () => void;
}
