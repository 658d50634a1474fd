/**
 * What an instance does after its process slept.
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
    /** This instance's part in the fleet; `undefined` while it works alone. */
    readonly fleet: () => Fleet | undefined;
}

/** Brings up to date what time made doubtful, after a process slept or its machine was suspended. */
export class StallRecovery {
    private refreshing: Promise<unknown> | undefined;

    /** @param options - What is brought up to date. */
    constructor(private readonly options: StallRecoveryOptions) {}

    /** Fulfilled when a refresh that is under way has ended; `undefined` while there is none. */
    get done(): Promise<unknown> | undefined {
        return this.refreshing;
    }

    /**
     * Begins to refresh.
     *
     * @param sleptMs - How long the process slept.
     */
    start(sleptMs: number): void {
        const { log, transport } = this.options;
        const fleet = this.options.fleet();
        log.write(events.wokeLate, { sleptMs });
        fleet?.resumeAfterStall(sleptMs);
        if (sleptMs < minimumRefreshStallMs) {
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
