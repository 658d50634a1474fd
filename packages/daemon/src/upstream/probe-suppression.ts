/**
 * Services whose upstreams answer probes without telling their load.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";

/** Answers in a row that told nothing, after which a service is not asked for a while. */
const silentInRow = 8;

/** Time for which it is not asked: upstreams that are replaced may tell their load some day. */
const pauseMs = 10_000;

/** Keeps probes from services that tell nothing, where they would only cost time. */
export class ProbeSuppression {
    private readonly counts = new Map<ServiceName, number>();
    private readonly pausedUntilMs = new Map<ServiceName, number>();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Whether a service is not worth asking now. */
    isSuppressed(service: ServiceName): boolean {
        return this.clock.nowMs() < (this.pausedUntilMs.get(service) ?? 0);
    }

    /** Notes how a probe of a service ended; one that failed says nothing of the others. */
    recordResult(service: ServiceName, result: "told" | "silent" | "failed"): void {
        if (result === "told") {
            this.counts.delete(service);
        }
        if (result !== "silent") {
            return;
        }
        const count = (this.counts.get(service) ?? 0) + 1;
        this.counts.set(service, count % silentInRow);
        if (count === silentInRow) {
            this.pausedUntilMs.set(service, this.clock.nowMs() + pauseMs);
        }
    }
}
