/**
 * The identity of a configuration.
 *
 * @packageDocumentation
 */

import type { Generation } from "@harrierhitch/core";
import { createHash } from "node:crypto";

/** Identifies a configuration. Whoever only names one keeps this, because the configuration itself has megabytes. */
export interface ConfigurationVersion {
    readonly generation: Generation;
    /** SHA-256 hash of the document in hexadecimal. */
    readonly hash: string;
}

/** A version whose hash is computed when it is first read. */
export class LazyConfigurationVersion implements ConfigurationVersion {
    /**
     * @param generation - The generation.
     * @param documentHash - Returns the hash of the document.
     */
    constructor(readonly generation: Generation, private readonly documentHash: () => string) {}

    get hash(): string {
        return this.documentHash();
    }
}

/**
 * Returns a function that computes the SHA-256 hash of a document in hexadecimal on its first call, which comes seconds after a
 * start: loading `node:crypto` takes a tenth of one. It keeps the text until then.
 */
export const lazyDocumentHash = (text: string): () => string => {
    let unread: string | undefined = text;
    let hash = "";
    return () => {
        if (unread !== undefined) {
            hash = createHash("sha256").update(unread).digest("hex");
            unread = undefined;
        }
        return hash;
    };
};
