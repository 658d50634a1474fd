/**
 * Parsing and validation of the daemon's settings.
 *
 * @packageDocumentation
 */

import { checkDocument, type CheckResult } from "./check.js";
import type { Finding } from "./finding.js";
import { IniDocument } from "./ini-document.js";
import { parseEndpoint } from "./key.js";
import { type Settings, settingsSchema } from "./settings-schema.js";

/**
 * Parses and checks a settings file.
 *
 * @param file - File name for findings.
 * @param text - The text of the file.
 * @returns The settings, or all findings.
 */
export const checkSettings = (file: string, text: string): CheckResult<Settings> => {
    const document = IniDocument.parse(file, text);
    const checked = checkDocument(document, settingsSchema);
    if (checked.value === undefined) {
        return checked;
    }
    const settings = withPorts(checked.value);
    const findings = (["callers", "operators", "peers"] as const).flatMap(section => tlsFindings(document, settings, section));
    return findings.length === 0 ? { value: settings, findings: [] } : { value: undefined, findings };
};

/** Splits addresses of the form `IP:port` into address and port. */
const withPorts = (settings: Settings): Settings => ({
    ...settings,
    callers: { ...settings.callers, ...parseEndpoint(settings.callers.address) },
    operators: { ...settings.operators, ...parseEndpoint(settings.operators.address) },
    ...(settings.peers && { peers: { ...settings.peers, ...parseEndpoint(settings.peers.address) } }),
    ...(settings.ready && { ready: { ...settings.ready, ...parseEndpoint(settings.ready.address) } }),
});

const tlsFindings = (
    document: IniDocument,
    settings: Settings,
    section: "callers" | "operators" | "peers",
): readonly Finding[] => {
    const values = settings[section];
    if (values === undefined) {
        return [];
    }
    const { address, certificateFile, keyFile, authorityFile } = values;
    const trustsNetwork = !("trustsNetwork" in values) || values.trustsNetwork;
    const location = { file: document.file, section };
    const findings: Finding[] = [];
    if ((certificateFile === undefined) !== (keyFile === undefined)) {
        const key = certificateFile === undefined ? "certificateFile" : "keyFile";
        findings.push({
            ...location,
            key,
            line: document.lineOf(section, key),
            message: "certificateFile and keyFile must be set together",
        });
    }
    if (!trustsNetwork && !isLoopback(address) && (certificateFile === undefined || authorityFile === undefined)) {
        const message =
            "outside loopback, operators and peers are served with TLS only; set certificateFile, keyFile and authorityFile";
        findings.push({ ...location, key: "address", line: document.lineOf(section, "address"), message });
    }
    return findings;
};

/** Whether an IP address is a loopback address. */
export const isLoopback = (address: string): boolean => address === "::1" || address.startsWith("127.");
