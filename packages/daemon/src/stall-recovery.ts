/**
 * Refreshes an instance's state after a stall.
 *
 * @packageDocumentation
 */

import type { Fleet } from "@harrierhitch/fleet";
import { minimumRefreshStallMs, refreshTimeoutMs } from "./instance-times.js";
import type { EventLog } from "./telemetry/event-log.js";
import { events } from "./telemetry/event.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Options of {@link StallRecovery}. */
export interface StallRecoveryOptions {
    readonly log: EventLog;
    readonly transport: UpstreamTransport;
    /** The fleet; `undefined` while the instance is standalone. */
    readonly fleet: () => Fleet | undefined;
}

/** Refreshes state that may be outdated after the process was stalled or its machine suspended. */
export class StallRecovery {
    private refreshing: Promise<unknown> | undefined;

    /** @param options - What to refresh. */
    constructor(private readonly options: StallRecoveryOptions) {}

    /** Fulfilled when the running refresh has completed; `undefined` if none is running. */
    get done(): Promise<unknown> | undefined {
        return this.refreshing;
    }

    /**
     * Starts a refresh.
     *
     * @param stallMs - Duration of the stall, in milliseconds.
     */
    start(stallMs: number): void {
        const { log, transport } = this.options;
        const fleet = this.options.fleet();
        log.write(events.processStalled, { sleptMs: stallMs });
        fleet?.resumeAfterStall(stallMs);
        if (stallMs < minimumRefreshStallMs) {
            return;
        }
        transport.closeIdle();
        if (fleet !== undefined) {
            const refreshing = fleet.contactPeers(refreshTimeoutMs).finally(() => {
                this.refreshing = this.refreshing === refreshing ? undefined : this.refreshing;
            });
            this.refreshing = refreshing;
        }
    }
}
