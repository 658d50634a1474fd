/**
 * The configuration in force on one instance.
 *
 * @packageDocumentation
 */

import { checkConfiguration, type CheckResult, type Configuration } from "@harrierhitch/configuration";
import type { ApplyResult } from "./apply-result.js";

/** A configuration in force, with the document it was made from. */
export interface LoadedConfiguration {
    readonly configuration: Configuration;
    readonly text: string;
}

/**
 * Holds the highest accepted configuration and never goes back.
 *
 * Two contents under one generation are settled alike on every instance: the
 * one with the lower hash wins, in whatever order they arrive.
 */
export class ActiveConfiguration {
    private held: LoadedConfiguration | undefined;

    /** @param check - Reads and checks a document; the product's own syntax without one. */
    constructor(private readonly check: (file: string, text: string) => CheckResult<Configuration> = checkConfiguration) {}

    /** The configuration in force; `undefined` before the first was accepted. */
    get current(): LoadedConfiguration | undefined {
        return this.held;
    }

    /**
     * Offers a document from any source.
     *
     * @param file - Where it comes from, for findings.
     * @param text - The document.
     * @returns What became of it.
     */
    apply(file: string, text: string): ApplyResult {
        if (text === this.held?.text) {
            return { type: "same" };
        }
        const checked = this.check(file, text);
        if (checked.value === undefined) {
            return { type: "invalid", findings: checked.findings };
        }
        const configuration = checked.value;
        const current = this.held?.configuration;
        const isConflict = configuration.generation === current?.generation;
        if (current !== undefined && configuration.generation < current.generation) {
            return { type: "older", configuration };
        }
        if (current !== undefined && isConflict && configuration.hash > current.hash) {
            return { type: "conflict", configuration };
        }
        this.held = { configuration, text };
        return { type: "accepted", configuration, conflict: isConflict };
    }
}
