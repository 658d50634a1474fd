/**
 * The built-in platform: INI documents, and header names from the configuration.
 *
 * @packageDocumentation
 */

import { checkConfiguration } from "@harrierhitch/configuration";
import { ConfiguredHeaderProtocol } from "../request/configured-header-protocol.js";
import { HttpPlatform } from "./http-platform.js";
import type { PlatformAdapter } from "./platform.js";

/** The {@link PlatformAdapter} that is used unless the program provides another. */
export const defaultPlatform: PlatformAdapter = {
    open: options => new HttpPlatform(options),
    createParser: () => ({
        parseConfiguration: checkConfiguration,
        parseUpstream: id => {
            const message = "this platform publishes no upstreams besides those of the configuration";
            return { value: undefined, findings: [{ file: id, section: "", key: "", line: undefined, message }] };
        },
    }),
    headerProtocol: new ConfiguredHeaderProtocol(),
};
