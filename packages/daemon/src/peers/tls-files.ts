/**
 * TLS files named by the settings, read again when they change.
 *
 * @packageDocumentation
 */

import { readFileSync, unwatchFile, watchFile } from "node:fs";

/** Names of the TLS files of one side; TLS is on when certificate and key are named. */
export interface TlsFileNames {
    readonly certificateFile: string | undefined;
    readonly keyFile: string | undefined;
    readonly authorityFile: string | undefined;
}

/** The contents of TLS files. */
export interface TlsContents {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca?: Buffer;
}

/** Time between two looks at the files. */
const lookMs = 1000;

/** Reads the files; `undefined` when TLS is off. */
export const readTlsFiles = ({ certificateFile, keyFile, authorityFile }: TlsFileNames): TlsContents | undefined =>
    certificateFile === undefined || keyFile === undefined ? undefined : {
        cert: readFileSync(certificateFile),
        key: readFileSync(keyFile),
        ...(authorityFile === undefined ? {} : { ca: readFileSync(authorityFile) }),
    };

/**
 * Tells of changes of the files.
 *
 * @param names - The files.
 * @param onChange - Told after a change.
 * @returns Ends the watch.
 */
export const watchTlsFiles = (names: TlsFileNames, onChange: () => void): () => void => {
    const files = [names.certificateFile, names.keyFile, names.authorityFile].filter(file => file !== undefined);
    files.forEach(file => watchFile(file, { interval: lookMs, persistent: false }, onChange));
    return () => files.forEach(file => unwatchFile(file, onChange));
};
