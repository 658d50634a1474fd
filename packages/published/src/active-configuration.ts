/**
 * The active configuration of one instance.
 *
 * @packageDocumentation
 */

import { checkConfiguration, type CheckResult, type Configuration } from "@harrierhitch/configuration";
import type { ApplyResult } from "./apply-result.js";

/** A configuration with the document that it was parsed from. */
export interface LoadedConfiguration {
    readonly configuration: Configuration;
    readonly text: string;
}

/**
 * Holds the configuration with the highest generation. Of two documents with the same generation the one with the lower
 * hash wins, so all instances converge whatever the order of arrival.
 */
export class ActiveConfiguration {
    private loaded: LoadedConfiguration | undefined;

    /** @param check - Parses and validates a document; {@link checkConfiguration} by default. */
    constructor(private readonly check: (file: string, text: string) => CheckResult<Configuration> = checkConfiguration) {}

    /** The active configuration; `undefined` until the first document is accepted. */
    get current(): LoadedConfiguration | undefined {
        return this.loaded;
    }

    /**
     * Validates a document and activates it unless the active configuration takes precedence.
     *
     * @param file - Source of the document, for findings.
     * @param text - The document.
     * @returns Whether the document was activated, and otherwise why not.
     */
    apply(file: string, text: string): ApplyResult {
        if (text === this.loaded?.text) {
            return { type: "same" };
        }
        const checked = this.check(file, text);
        if (checked.value === undefined) {
            return { type: "invalid", findings: checked.findings };
        }
        const configuration = checked.value;
        const active = this.loaded?.configuration;
        const isConflict = configuration.generation === active?.generation;
        if (active !== undefined && configuration.generation < active.generation) {
            return { type: "older", configuration };
        }
        if (active !== undefined && isConflict && configuration.hash > active.hash) {
            return { type: "conflict", configuration };
        }
        this.loaded = { configuration, text };
        return { type: "accepted", configuration, conflict: isConflict };
    }
}
