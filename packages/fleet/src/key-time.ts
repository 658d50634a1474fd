/**
 * The time at which a key was made, where the key tells it.
 *
 * @packageDocumentation
 */

const version7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Reads the time out of a UUID of version 7 (RFC 9562).
 *
 * @param key - The key.
 * @returns Milliseconds since the Unix epoch, or `undefined` for other keys.
 */
export const keyMadeAtUnixMs = (key: string): number | undefined => {
    const match = version7.exec(key);
    return match === null ? undefined : parseInt(`${match[1]}${match[2]}`, 16);
};
