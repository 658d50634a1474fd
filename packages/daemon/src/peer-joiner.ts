/**
 * When an instance joins the others.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { asError, sleep } from "@harrierhitch/core";
import type { PeerClients } from "@harrierhitch/fleet";
import { events } from "./event.js";
import type { PeerSide, PeerSideOptions } from "./peer-side.js";

/** Options of {@link PeerJoiner}. */
export interface PeerJoinerOptions extends Omit<PeerSideOptions, "settings" | "availabilityZone"> {
    readonly settings: Settings;
}

/** Opens the side between instances where the settings name one: at the start, or some time after it. */
export class PeerJoiner {
    private side: PeerSide | undefined;
    private readonly ending = new AbortController();

    /** @param options - Settings and the instance. */
    constructor(private readonly options: PeerJoinerOptions) {}

    /** Clients of the other instances; `undefined` while this one works alone. */
    get clients(): PeerClients | undefined {
        return this.side?.clients;
    }

    /** Joins the others now, or later where the settings say so; gives the port, 0 while there is none. */
    async start(): Promise<number> {
        const { peers } = this.options.settings;
        if (peers === undefined) {
            return 0;
        }
        if (peers.joinDelayMs === 0) {
            return this.join(peers);
        }
        void this.joinLate(peers);
        return 0;
    }

    /** Takes over changed settings. */
    reload(settings: Settings["peers"]): void {
        this.side?.reload(settings);
    }

    /** Ends all talk at once. */
    async close(): Promise<void> {
        this.ending.abort();
        await this.side?.close();
    }

    private async joinLate(settings: NonNullable<Settings["peers"]>): Promise<void> {
        const { clock, log } = this.options;
        await sleep(clock, settings.joinDelayMs, this.ending.signal);
        if (this.ending.signal.aborted) {
            return;
        }
        try {
            log.write(events.joining, { port: await this.join(settings) });
        }
        catch (thrown) {
            log.write(events.joinFailed, { error: asError(thrown) });
        }
    }

    private async join(settings: NonNullable<Settings["peers"]>): Promise<number> {
        // Loaded only here: an instance that works alone, or has just started, does not pay for it.
        const { PeerSide: Side } = await import("./peer-side.js");
        this.side = new Side({ ...this.options, settings, availabilityZone: this.options.settings.instance.availabilityZone });
        return await this.side.start();
    }
}
