/**
 * Controls when an instance joins the fleet.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { asError, sleep } from "@harrierhitch/core";
import type { PeerClients } from "@harrierhitch/fleet";
import { events } from "../telemetry/event.js";
import type { ConnectClients } from "./connect-clients.js";
import type { PeerEndpoint, PeerEndpointOptions } from "./peer-endpoint.js";

/** Options of {@link PeerJoiner}. */
export interface PeerJoinerOptions extends Omit<PeerEndpointOptions, "settings" | "availabilityZone" | "maximumHeaderBytes"> {
    readonly settings: Settings;
}

/** Maximum random extension of the join delay, as a fraction; keeps instances that start together from overloading the seeds. */
const joinJitter = 0.5;

/** Longest random delay of a join that is hastened, in milliseconds. */
const hastenedJoinMs = 300;

/** Opens the peers' endpoint if it is configured, at the start or after the join delay. */
export class PeerJoiner {
    private endpoint: PeerEndpoint | undefined;
    private settings: Settings["peers"];
    private readonly closing = new AbortController();
    private isJoinPending = false;
    private readonly hastened = new AbortController();

    /** @param options - Settings and the instance. */
    constructor(private readonly options: PeerJoinerOptions) {
        this.settings = options.settings.peers;
    }

    /** Clients of the other instances; `undefined` while the instance is standalone. */
    get clients(): PeerClients | undefined {
        return this.endpoint?.clients;
    }

    /** Connections to the other instances; `undefined` while the instance is standalone. */
    get agent(): ConnectClients["agent"] | undefined {
        return this.endpoint?.clients.agent;
    }

    /** Whether a delayed join is pending. */
    get willJoin(): boolean {
        return this.isJoinPending;
    }

    /** Joins the fleet, or schedules the join if a delay is configured; returns the port, 0 until it has joined. */
    async start(): Promise<number> {
        const joinDelayMs = this.settings?.joinDelayMs ?? 0;
        if (joinDelayMs === 0) {
            return this.join();
        }
        this.isJoinPending = true;
        void this.joinAfterDelay(joinDelayMs).finally(() => {
            this.isJoinPending = false;
        });
        return 0;
    }

    /** Joins soon if a join is pending; the others may have what this instance cannot read. */
    hasten(): void {
        const { clock, random } = this.options;
        if (this.isJoinPending) {
            clock.after(hastenedJoinMs * random.next(), () => this.hastened.abort());
        }
    }

    /** Applies changed settings, also before the fleet is joined. */
    reload(settings: Settings["peers"]): void {
        this.settings = settings;
        this.endpoint?.reload(settings);
    }

    /** Tells the fleet that this instance leaves; if it joins later, it tells it then. */
    announceLeaving(): void {
        void this.options.instance.fleet?.announceLeaving();
    }

    /** Waits for the requests of other instances that are in flight. */
    async drain(): Promise<void> {
        await this.endpoint?.drain();
    }

    /** Cancels a pending join and closes the endpoint. */
    async close(): Promise<void> {
        this.closing.abort();
        this.hastened.abort();
        await this.endpoint?.close();
    }

    private async joinAfterDelay(joinDelayMs: number): Promise<void> {
        const { clock, random, log } = this.options;
        await sleep(clock, joinDelayMs * (1 + joinJitter * random.next()), this.hastened.signal);
        if (this.closing.signal.aborted) {
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
        // Loaded on demand to keep the start of a standalone instance fast.
        const { PeerEndpoint: Endpoint } = await import("./peer-endpoint.js");
        this.endpoint = new Endpoint({
            ...this.options,
            settings,
            availabilityZone: this.options.settings.instance.availabilityZone,
            maximumHeaderBytes: this.options.settings.callers.maximumHeaderBytes,
        });
        const port = await this.endpoint.start();
        if (this.options.instance.stage === "stopping") {
            this.announceLeaving();
        }
        return port;
    }
}
