/**
 * Derives a platform's options from a daemon's settings.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { PlatformOptions } from "./platform.js";

/**
 * Creates the options of a platform; calls are counted, and invalid items are logged.
 *
 * @param settings - The settings.
 * @param metrics - Receives counts.
 * @param log - Receives events.
 */
export const platformOptions = ({ platform }: Settings, metrics: Metrics, log: EventLog): PlatformOptions => {
    const { addresses, configurationKey, readTimeoutMs } = platform;
    return {
        addresses: addresses.split(",").map(address => address.trim()),
        configurationKey,
        readTimeoutMs,
        onCall: kind => metrics.platformCalls.inc({ kind }),
        onInvalidItem: (key, revision, detail) => {
            metrics.invalidEntries.inc();
            log.write(events.itemInvalid, { key, revision, detail });
        },
    };
};
