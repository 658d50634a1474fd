/**
 * The version of the daemon.
 *
 * @packageDocumentation
 */

/** Version of this package; a test compares it with the manifest. */
export const version = "0.1.0";
