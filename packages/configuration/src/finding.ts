/**
 * Findings: what is wrong with a settings file or a published configuration.
 *
 * @packageDocumentation
 */

/** One thing that is wrong with a document, and where. */
export interface Finding {
    /** Name of the file or of the platform's key. */
    readonly file: string;
    /** Section, for example `service.seating`; empty for the top of the file. */
    readonly section: string;
    /** Key in the section; empty when the finding is about the section. */
    readonly key: string;
    /** Line, from 1, where it is known. */
    readonly line: number | undefined;
    /** What was found and what was expected. */
    readonly message: string;
}

/** Writes a finding on one line, as compilers do. */
export const formatFinding = (finding: Finding): string => {
    const place = [finding.file, finding.line].filter(part => part !== undefined).join(":");
    const name = [finding.section === "" ? "" : `[${finding.section}]`, finding.key].filter(part => part !== "").join(" ");
    return `${place}: ${name === "" ? "" : `${name}: `}${finding.message}`;
};
