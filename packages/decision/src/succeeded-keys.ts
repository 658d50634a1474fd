/**
 * Requests that upstreams have answered lately.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";
import { agreeingSets, pathPartOf } from "./request-attributes.js";

/** Most keys that are remembered, the latest of them: a megabyte, and minutes of an instance's requests. */
const maximumKeys = 4096;

/** Remembers which requests were answered, whoever asks for them often the longest. */
export class AnsweredKeys {
    /** Oldest first. */
    private readonly keys = new Set<RequestKey>();
    private readonly byPath = new Map<string, Set<RequestKey>>();

    /** Notes that a request was answered. */
    note(key: RequestKey): void {
        this.forget(key);
        this.keys.add(key);
        const alike = this.byPath.get(pathPartOf(key)) ?? new Set();
        this.byPath.set(pathPartOf(key), alike.add(key));
        if (this.keys.size > maximumKeys) {
            const [oldest = key] = this.keys;
            this.forget(oldest);
        }
    }

    /**
     * In which sets of traits an answered request agrees with another one, as far as is remembered.
     *
     * @param key - The other one.
     * @returns Bits: bit `n` stands for the set of traits `n`.
     */
    agreeingWith(key: RequestKey): number {
        const alike = this.byPath.get(pathPartOf(key)) ?? new Set();
        return [...alike].reduce((bits, answered) => bits | agreeingSets(key, answered), 0);
    }

    private forget(key: RequestKey): void {
        const path = pathPartOf(key);
        const alike = this.byPath.get(path);
        this.keys.delete(key);
        alike?.delete(key);
        if (alike?.size === 0) {
            this.byPath.delete(path);
        }
    }
}
