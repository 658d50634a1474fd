/**
 * What an instance does after its process slept.
 *
 * @packageDocumentation
 */

import type { Fleet } from "@harrierhitch/fleet";
import { minimumRefreshSleepMs, refreshTimeoutMs } from "./instance-times.js";
import type { EventLog } from "./telemetry/event-log.js";
import { events } from "./telemetry/event.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";

/** Options of {@link WakeRefresh}. */
export interface WakeRefreshOptions {
    readonly log: EventLog;
    readonly transport: UpstreamTransport;
    /** This instance's part in the fleet; `undefined` while it works alone. */
    readonly fleet: () => Fleet | undefined;
}

/** Brings up to date what time made doubtful, after a process slept or its machine was suspended. */
export class WakeRefresh {
    private refreshing: Promise<unknown> | undefined;

    /** @param options - What is brought up to date. */
    constructor(private readonly options: WakeRefreshOptions) {}

    /** Fulfilled when a refresh that is under way has ended; `undefined` while there is none. */
    get ended(): Promise<unknown> | undefined {
        return this.refreshing;
    }

    /**
     * Begins to refresh.
     *
     * @param sleptMs - How long the process slept.
     */
    begin(sleptMs: number): void {
        const { log, transport } = this.options;
        const fleet = this.options.fleet();
        log.write(events.wokeLate, { sleptMs });
        fleet?.wakeLate(sleptMs);
        if (sleptMs < minimumRefreshSleepMs) {
            return;
        }
        transport.dropIdle();
        if (fleet !== undefined) {
            const refreshing = fleet.hearOthers(refreshTimeoutMs).finally(() => {
                this.refreshing = this.refreshing === refreshing ? undefined : this.refreshing;
            });
            this.refreshing = refreshing;
        }
    }
}
