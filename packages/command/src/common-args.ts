/**
 * Command-line arguments that several commands share.
 *
 * @packageDocumentation
 */

import type { InstanceAddress } from "./client.js";

/** Arguments that select an instance. */
export const instanceArgs = {
    instance: { type: "string", required: true, valueHint: "IP:PORT", description: "Address of any instance for operators" },
    certificate: { type: "string", valueHint: "FILE", description: "Client certificate (PEM); enables TLS" },
    key: { type: "string", valueHint: "FILE", description: "Private key of the certificate (PEM)" },
    authority: { type: "string", valueHint: "FILE", description: "Authority of the instance's certificate (PEM)" },
} as const;

/** Argument that selects JSON output. */
export const jsonArg = { json: { type: "boolean", default: false, description: "Write JSON" } } as const;

/** Returns the instance address from parsed arguments. */
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
