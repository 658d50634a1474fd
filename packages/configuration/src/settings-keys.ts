/**
 * Keys that several sections of the settings share.
 *
 * @packageDocumentation
 */

import { booleanKey, integerKey, optionalTextKey, textKey } from "./key.js";

/** A port; 0 stands for a free one, or for the port that the address names. */
export const portKey = (description: string) => integerKey({ description, minimum: 0, maximum: 65535, defaultValue: 0 });

/** Whether a side may do without TLS outside loopback. */
export const trustsNetworkKey = booleanKey({
    description: "Whether to serve without TLS outside loopback, because nobody else reaches this network.",
    defaultValue: false,
});

/** A key that holds a list of `IP:port`. */
export const endpointsKey = (options: { readonly description: string; readonly defaultValue?: string; }) =>
    textKey({ ...options, expected: "IP:port pairs separated by commas", pattern: /^([^,\s]+:\d+(\s*,\s*[^,\s]+:\d+)*)?$/ });

/** Keys of the files of a side that may be served with TLS. */
export const tlsKeys = {
    certificateFile: optionalTextKey({
        description: "PEM file with the certificate; TLS is on when it is set.",
        expected: "a path",
    }),
    keyFile: optionalTextKey({ description: "PEM file with the certificate's private key.", expected: "a path" }),
    authorityFile: optionalTextKey({
        description: "PEM file with the authorities whose client certificates are admitted.",
        expected: "a path",
    }),
};
