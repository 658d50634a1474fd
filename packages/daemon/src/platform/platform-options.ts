/**
 * What a platform is opened with, by the settings of a daemon.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { PlatformOptions } from "./platform.js";

/**
 * Makes the options of a platform; its calls are counted, and what it cannot read is logged.
 *
 * @param settings - The settings.
 * @param metrics - Takes counts.
 * @param log - Takes events.
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
