/**
 * Loads the export of traces.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";
import type { Tracing } from "./tracing.js";

/** Opens the export of traces if the settings have a receiver; its code is loaded only then. */
export const loadTracing = async (
    settings: Settings,
    { clock, metrics, log }: { readonly clock: Clock; readonly metrics: Metrics; readonly log: EventLog; },
): Promise<Tracing | undefined> => {
    if (settings.traces.otlpUrl === undefined) {
        return undefined;
    }
    const { openTracing } = await import("./tracing.js");
    return openTracing(settings, clock, spans => {
        metrics.spansDropped.inc(spans);
        log.write(events.spansDropped, { spans });
    });
};
