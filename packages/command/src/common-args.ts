/**
 * Arguments that several commands share.
 *
 * @packageDocumentation
 */

import type { InstanceAddress } from "./client.js";

/** Arguments that name an instance. */
export const instanceArgs = {
    instance: { type: "string", required: true, valueHint: "IP:PORT", description: "Operators' address of any instance" },
    certificate: { type: "string", valueHint: "FILE", description: "Client certificate (PEM); switches to TLS" },
    key: { type: "string", valueHint: "FILE", description: "Private key of the certificate (PEM)" },
    authority: { type: "string", valueHint: "FILE", description: "Authority of the instance's certificate (PEM)" },
} as const;

/** The argument that switches to JSON. */
export const jsonArg = { json: { type: "boolean", default: false, description: "Write JSON for programs" } } as const;

/** Takes the instance's address out of parsed arguments. */
export const addressOf = (args: {
    readonly instance: string;
    readonly certificate?: string | undefined;
    readonly key?: string | undefined;
    readonly authority?: string | undefined;
}): InstanceAddress => ({
    instance: args.instance,
    certificate: args.certificate,
    key: args.key,
    authority: args.authority,
});
