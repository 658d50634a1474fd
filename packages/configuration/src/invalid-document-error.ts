/**
 * The error of a document that does not pass its checks.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";
import { type Finding, formatFinding } from "./finding.js";

/** A settings file or a configuration that was rejected, with all findings. */
export class InvalidDocumentError extends HarrierhitchError {
    readonly code = "invalid-document";

    /** @param findings - Everything that is wrong, at least one finding. */
    constructor(readonly findings: readonly Finding[]) {
        super(findings.map(formatFinding).join("\n"));
    }
}
