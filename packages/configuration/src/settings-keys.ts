/**
 * Keys that several settings sections share.
 *
 * @packageDocumentation
 */

import { booleanKey, integerKey, optionalTextKey, textKey } from "./key.js";

/** Key for a port; 0 selects a free port, or the port of the address if it has one. */
export const portKey = (description: string) => integerKey({ description, minimum: 0, maximum: 65535, defaultValue: 0 });

/** Key that allows a listener outside loopback to run without TLS. */
export const trustsNetworkKey = booleanKey({
    description: "Whether to serve without TLS outside loopback, because the network is trusted.",
    defaultValue: false,
});

/** Key for a list of `IP:port` pairs. */
export const endpointsKey = (options: { readonly description: string; readonly defaultValue?: string; }) =>
    textKey({ ...options, expected: "IP:port pairs separated by commas", pattern: /^([^,\s]+:\d+(\s*,\s*[^,\s]+:\d+)*)?$/ });

/** Keys for the TLS files of a listener. */
export const tlsKeys = {
    certificateFile: optionalTextKey({
        description: "PEM file with the certificate; TLS is on when it is set.",
        expected: "a path",
    }),
    keyFile: optionalTextKey({ description: "PEM file with the certificate's private key.", expected: "a path" }),
    authorityFile: optionalTextKey({
        description: "PEM file with the certificate authorities whose client certificates are accepted.",
        expected: "a path",
    }),
};
