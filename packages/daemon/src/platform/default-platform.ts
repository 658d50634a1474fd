/**
 * harrierhitch's own platform: documents in INI, header names from the configuration.
 *
 * @packageDocumentation
 */

import { checkConfiguration } from "@harrierhitch/configuration";
import { ConfiguredHeaderProtocol } from "../request/configured-header-protocol.js";
import { HttpPlatform } from "./http-platform.js";
import type { PlatformAdapter } from "./platform.js";

/** The {@link PlatformAdapter} that is used unless a program brings another. */
export const defaultPlatform: PlatformAdapter = {
    open: options => new HttpPlatform(options),
    createParser: () => ({
        parseConfiguration: checkConfiguration,
        parseUpstream: id => {
            const message = "this platform lists no upstreams apart from the configuration";
            return { value: undefined, findings: [{ file: id, section: "", key: "", line: undefined, message }] };
        },
    }),
    headerProtocol: new ConfiguredHeaderProtocol(),
};
