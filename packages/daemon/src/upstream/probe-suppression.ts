/**
 * Suppresses probes of services whose upstreams return no load reports.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";

/** Consecutive responses without a load report after which a service is not probed for a while. */
const maximumUnreported = 8;

/** Duration of a suppression, in milliseconds; replaced upstreams may return load reports later. */
const suppressionMs = 10_000;

/** Suppresses probes that would only add latency. */
export class ProbeSuppression {
    private readonly unreportedCounts = new Map<ServiceName, number>();
    private readonly suppressedUntilMs = new Map<ServiceName, number>();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Whether probes of a service are currently suppressed. */
    isSuppressed(service: ServiceName): boolean {
        return this.clock.nowMs() < (this.suppressedUntilMs.get(service) ?? 0);
    }

    /** Records the result of a probe; failed probes do not count. */
    recordResult(service: ServiceName, result: "told" | "silent" | "failed"): void {
        if (result === "told") {
            this.unreportedCounts.delete(service);
        }
        if (result !== "silent") {
            return;
        }
        const count = (this.unreportedCounts.get(service) ?? 0) + 1;
        this.unreportedCounts.set(service, count % maximumUnreported);
        if (count === maximumUnreported) {
            this.suppressedUntilMs.set(service, this.clock.nowMs() + suppressionMs);
        }
    }
}
