/**
 * When an instance joins the others.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { asError, sleep } from "@harrierhitch/core";
import type { PeerClients } from "@harrierhitch/fleet";
import { events } from "../telemetry/event.js";
import type { PeerEndpoint, PeerEndpointOptions } from "./peer-endpoint.js";

/** Options of {@link PeerJoiner}. */
export interface PeerJoinerOptions extends Omit<PeerEndpointOptions, "settings" | "availabilityZone"> {
    readonly settings: Settings;
}

/**
 * Share of the delay by which instances join at different times: hundreds that start together all ask three seeds first,
 * and one exchange takes some milliseconds of a small core.
 */
const joinSpread = 0.5;

/** Opens the side between instances where the settings name one: at the start, or some time after it. */
export class PeerJoiner {
    private side: PeerEndpoint | undefined;
    private settings: Settings["peers"];
    private readonly ending = new AbortController();
    private isWaiting = false;

    /** @param options - Settings and the instance. */
    constructor(private readonly options: PeerJoinerOptions) {
        this.settings = options.settings.peers;
    }

    /** Clients of the other instances; `undefined` while this one works alone. */
    get clients(): PeerClients | undefined {
        return this.side?.clients;
    }

    /** Whether this instance is going to join others. */
    get willJoin(): boolean {
        return this.isWaiting;
    }

    /** Joins the others now, or later where the settings say so; gives the port, 0 while there is none. */
    async start(): Promise<number> {
        const joinDelayMs = this.settings?.joinDelayMs ?? 0;
        if (joinDelayMs === 0) {
            return this.join();
        }
        this.isWaiting = true;
        void this.joinLate(joinDelayMs).finally(() => {
            this.isWaiting = false;
        });
        return 0;
    }

    /** Takes over changed settings, also before the others are joined. */
    reload(settings: Settings["peers"]): void {
        this.settings = settings;
        this.side?.reload(settings);
    }

    /** Ends all talk at once. */
    async close(): Promise<void> {
        this.ending.abort();
        await this.side?.close();
    }

    private async joinLate(joinDelayMs: number): Promise<void> {
        const { clock, random, log } = this.options;
        await sleep(clock, joinDelayMs * (1 + joinSpread * random.next()), this.ending.signal);
        if (this.ending.signal.aborted) {
            return;
        }
        try {
            log.write(events.joining, { port: await this.join() });
        }
        catch (thrown) {
            log.write(events.joinFailed, { error: asError(thrown) });
        }
    }

    private async join(): Promise<number> {
        const { settings } = this;
        if (settings === undefined) {
            return 0;
        }
        // Loaded only here: an instance that works alone, or has just started, does not pay for it.
        const { PeerEndpoint: Side } = await import("./peer-endpoint.js");
        this.side = new Side({ ...this.options, settings, availabilityZone: this.options.settings.instance.availabilityZone });
        return await this.side.start();
    }
}
