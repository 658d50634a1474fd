/**
 * The platform's configuration service, as far as harrierhitch uses it.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";

/** A value that the platform publishes. */
export interface PlatformValue {
    /** Opaque version of the value. */
    readonly version: string;
    readonly text: string;
}

/** The configuration service: it can be read and watched, never written. */
export interface Platform {
    /**
     * Reads a key.
     *
     * @param key - The key.
     * @param signal - Ends the read.
     * @throws {@link PlatformError} when the service does not answer properly.
     */
    read(key: string, signal: AbortSignal): Promise<PlatformValue>;

    /**
     * Waits until a key has another version than the given one.
     *
     * @param key - The key.
     * @param version - The version already known.
     * @param signal - Ends the watch.
     * @returns The new value, or `undefined` when nothing changed for the time of a watch.
     * @throws {@link PlatformError} when the service does not answer properly.
     */
    watch(key: string, version: string, signal: AbortSignal): Promise<PlatformValue | undefined>;
}

/** The platform did not answer, or not as agreed. */
export class PlatformError extends HarrierhitchError {
    readonly code = "platform";
}
