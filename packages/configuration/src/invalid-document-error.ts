/**
 * The error for invalid documents.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import { type Finding, formatFinding } from "./finding.js";

/** A settings file, configuration or other document is invalid; the message lists all findings. */
export class InvalidDocumentError extends HarrierhitchError {
    readonly code = "invalid-document";

    /** @param findings - The findings, at least one. */
    constructor(readonly findings: readonly Finding[]) {
        super(findings.map(formatFinding).join("\n"));
    }
}
