/**
 * The active configuration of one instance.
 *
 * @packageDocumentation
 */

import { checkConfiguration, type CheckResult, type Configuration, type Finding } from "@harrierhitch/configuration";
import type { ApplyResult } from "./apply-result.js";

/** A configuration with the document that it was parsed from. */
export interface LoadedConfiguration {
    readonly configuration: Configuration;
    readonly text: string;
}

/** A document that did not pass validation. */
export interface RejectedConfiguration {
    /** Source of the document. */
    readonly file: string;
    /** Its generation, as far as it can be read; 0 otherwise. */
    readonly generation: number;
    readonly findings: readonly Finding[];
}

/** A document that was active. */
interface ReplacedDocument {
    readonly generation: number;
    readonly hash: string;
    readonly text: string;
}

/** Number of replaced documents that are retained, so that instances which have one of them receive only the changes. */
const retainedDocuments = 4;

/** Finds the generation in a document that cannot be parsed as a whole. */
const generationPattern = /^\s*generation\s*=\s*(\d+)\s*$/m;

/**
 * Holds the configuration with the highest generation. Of two documents with the same generation the one with the lower
 * hash wins, so all instances converge whatever the order of arrival.
 */
export class ActiveConfiguration {
    private loaded: LoadedConfiguration | undefined;
    private rejected: RejectedConfiguration | undefined;
    /** The last documents before the active one, the latest first. */
    private replaced: readonly ReplacedDocument[] = [];
    private live = 0;
    private readonly collected = new FinalizationRegistry<undefined>(() => {
        this.live -= 1;
    });

    /** @param check - Parses and validates a document; {@link checkConfiguration} by default. */
    constructor(private readonly check: (file: string, text: string) => CheckResult<Configuration> = checkConfiguration) {}

    /** The active configuration; `undefined` until the first document is accepted. */
    get current(): LoadedConfiguration | undefined {
        return this.loaded;
    }

    /**
     * Returns the text of the active document or of one of the last ones before it, `undefined` if it is not known.
     *
     * @param generation - Its generation.
     * @param hash - Its hash.
     */
    textOf(generation: number, hash: string): string | undefined {
        const isSame = (document: Omit<ReplacedDocument, "text">): boolean =>
            document.generation === generation && document.hash === hash;
        return this.loaded !== undefined && isSame(this.loaded.configuration)
            ? this.loaded.text
            : this.replaced.find(isSame)?.text;
    }

    /** Number of configurations that have been active and are still in memory. */
    get liveVersions(): number {
        return this.live;
    }

    /** The newest document, if it was rejected; an earlier one remains active. */
    get rejection(): RejectedConfiguration | undefined {
        return this.rejected;
    }

    /**
     * Validates a document and activates it unless the active configuration takes precedence.
     *
     * @param file - Source of the document, for findings.
     * @param text - The document.
     * @returns Whether the document was activated, and otherwise why not.
     */
    apply(file: string, text: string): ApplyResult {
        const result = this.activate(file, text);
        if (result.type === "invalid") {
            const generation = Number(generationPattern.exec(text)?.[1] ?? 0);
            this.rejected = { file, generation, findings: result.findings };
        }
        else if (this.supersedesRejection(file, result)) {
            this.rejected = undefined;
        }
        return result;
    }

    /** Other sources may still pass on the document before the rejected one. */
    private supersedesRejection(file: string, result: ApplyResult): boolean {
        const isNewer = result.type === "accepted" && result.configuration.generation > (this.rejected?.generation ?? 0);
        return isNewer || file === this.rejected?.file;
    }

    private activate(file: string, text: string): ApplyResult {
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
        this.retain();
        this.loaded = { configuration, text };
        this.live += 1;
        this.collected.register(configuration, undefined);
        return { type: "accepted", configuration, conflict: isConflict };
    }

    /** Keeps the text of the active document, which is about to be replaced. */
    private retain(): void {
        if (this.loaded !== undefined) {
            const { configuration: { generation, hash }, text } = this.loaded;
            this.replaced = [{ generation, hash, text }, ...this.replaced].slice(0, retainedDocuments);
        }
    }
}
