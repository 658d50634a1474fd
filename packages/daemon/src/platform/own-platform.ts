/**
 * harrierhitch's own platform: documents in INI, header names from the configuration.
 *
 * @packageDocumentation
 */

import { checkConfiguration } from "@harrierhitch/configuration";
import { HeaderDialect } from "../request/header-dialect.js";
import { HttpPlatform } from "./http-platform.js";
import type { PlatformAdapter } from "./platform.js";

/** The {@link PlatformAdapter} that is used unless a program brings another. */
export const ownPlatform: PlatformAdapter = {
    open: options => new HttpPlatform(options),
    syntax: () => ({
        configuration: checkConfiguration,
        upstream: id => {
            const message = "this platform lists no upstreams apart from the configuration";
            return { value: undefined, findings: [{ file: id, section: "", key: "", line: undefined, message }] };
        },
    }),
    dialect: new HeaderDialect(),
};
