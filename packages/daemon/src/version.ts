/**
 * Version of the daemon.
 *
 * @packageDocumentation
 */

/** Version of this package, equal to the one in package.json. */
export const version = "0.1.0";
