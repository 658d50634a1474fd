/**
 * Reads the configured TLS files and watches them for changes.
 *
 * @packageDocumentation
 */

import { readFileSync, unwatchFile, watchFile } from "node:fs";

/** Names of the TLS files of an endpoint; TLS is enabled if both certificate and key are set. */
export interface TlsFileNames {
    readonly certificateFile: string | undefined;
    readonly keyFile: string | undefined;
    readonly authorityFile: string | undefined;
}

export interface TlsContents {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca?: Buffer;
}

/** Interval between checks for changed files, in milliseconds. */
const checkIntervalMs = 1000;

/** Reads the files; `undefined` if TLS is disabled. */
export const readTlsFiles = ({ certificateFile, keyFile, authorityFile }: TlsFileNames): TlsContents | undefined =>
    certificateFile === undefined || keyFile === undefined ? undefined : {
        cert: readFileSync(certificateFile),
        key: readFileSync(keyFile),
        ...(authorityFile === undefined ? {} : { ca: readFileSync(authorityFile) }),
    };

/**
 * Watches the files for changes.
 *
 * @param names - The files.
 * @param onChange - Called after a change.
 * @returns Stops the watch.
 */
export const watchTlsFiles = (names: TlsFileNames, onChange: () => void): () => void => {
    const files = [names.certificateFile, names.keyFile, names.authorityFile].filter(file => file !== undefined);
    files.forEach(file => watchFile(file, { interval: checkIntervalMs, persistent: false }, onChange));
    return () => files.forEach(file => unwatchFile(file, onChange));
};
