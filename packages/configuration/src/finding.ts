/**
 * Findings: errors in settings files, configurations and policies.
 *
 * @packageDocumentation
 */

/** One error in a document, with its location. */
export interface Finding {
    /** Name of the file, or the key on the platform. */
    readonly file: string;
    /** Section, for example `service.seating`; empty for the top level of the document. */
    readonly section: string;
    /** Key in the section; empty if the finding is about the section itself. */
    readonly key: string;
    /** 1-based line; `undefined` if unknown. */
    readonly line: number | undefined;
    /** Description of the error, with the value found and the value expected where applicable. */
    readonly message: string;
}

/** Formats a finding as one line: file, line, section, key and message. */
export const formatFinding = (finding: Finding): string => {
    const location = [finding.file, finding.line].filter(part => part !== undefined).join(":");
    const name = [finding.section === "" ? "" : `[${finding.section}]`, finding.key].filter(part => part !== "").join(" ");
    return `${location}: ${name === "" ? "" : `${name}: `}${finding.message}`;
};
