/**
 * The registry of a daemon's metrics.
 *
 * @packageDocumentation
 */

import { collectDefaultMetrics, Counter, Gauge, Registry } from "prom-client";

/** Sampling interval of the event loop delay, in milliseconds; each sample wakes the process. */
const eventLoopPrecisionMs = 500;

/** Creates metrics in a separate registry. */
export class MetricsRegistry {
    /** The registry that is scraped. */
    readonly registry = new Registry();

    /** Collects the default metrics of the process, too. */
    protected collectProcessMetrics(): void {
        collectDefaultMetrics({ register: this.registry, eventLoopMonitoringPrecision: eventLoopPrecisionMs });
    }

    protected counter(name: string, help: string, labelNames: readonly string[]): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    protected gauge(name: string, help: string, labelNames: readonly string[] = []): Gauge {
        return new Gauge({ name, help, labelNames, registers: [this.registry] });
    }
}
