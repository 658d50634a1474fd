/**
 * The keys of requests that recently received a response.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";
import { commonMasks, pathPartOf } from "./request-attributes.js";

/** Most keys that are stored; the oldest is evicted first. */
const maximumKeys = 4096;

/** Stores which requests succeeded. A repeated key counts as the latest. */
export class SucceededKeys {
    /** Oldest first. */
    private readonly keys = new Set<RequestKey>();
    private readonly byPath = new Map<string, Set<RequestKey>>();

    /** Records that a request received a response. */
    record(key: RequestKey): void {
        this.remove(key);
        this.keys.add(key);
        const samePath = this.byPath.get(pathPartOf(key)) ?? new Set();
        this.byPath.set(pathPartOf(key), samePath.add(key));
        if (this.keys.size > maximumKeys) {
            const [oldest = key] = this.keys;
            this.remove(oldest);
        }
    }

    /**
     * Returns the attribute masks in which a stored request equals another one.
     *
     * @param key - The other request.
     * @returns A bit set: bit `n` stands for the attribute mask `n`.
     */
    matchingMasks(key: RequestKey): number {
        const samePath = this.byPath.get(pathPartOf(key)) ?? new Set();
        return [...samePath].reduce((bits, succeeded) => bits | commonMasks(key, succeeded), 0);
    }

    private remove(key: RequestKey): void {
        const path = pathPartOf(key);
        const samePath = this.byPath.get(path);
        this.keys.delete(key);
        samePath?.delete(key);
        if (samePath?.size === 0) {
            this.byPath.delete(path);
        }
    }
}
