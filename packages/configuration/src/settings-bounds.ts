/**
 * The settings section for the propagation time bounds of the fleet.
 *
 * @packageDocumentation
 */

import { millisecondsKey, optionalSection } from "./key.js";

/** Maximum times for published changes to reach every instance. */
export const boundsSection = optionalSection({
    departureMs: millisecondsKey({
        description: "Maximum time from publishing that an upstream is draining until no instance sends it new requests.",
        minimum: 1500,
        maximum: 60_000,
        defaultValue: 2000,
    }),
    configurationMs: millisecondsKey({
        description: "Maximum time from publishing a configuration until it is active on every instance.",
        minimum: 1500,
        maximum: 60_000,
        defaultValue: 2000,
    }),
});
