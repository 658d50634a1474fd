/**
 * The side of a daemon that operators and the balancer in front talk to.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { RpcServer } from "../peers/rpc-server.js";
import type { RpcSideOptions } from "../peers/rpc-side-options.js";
import { plainOperatorsHandler, readyHandler } from "./operators-server.js";
import { PlainServer } from "./plain-server.js";

/** Options of {@link OperatorsSide}. */
export interface OperatorsSideOptions extends RpcSideOptions {
    readonly settings: Settings;
}

/** Serves operators' calls, metrics and readiness. */
export class OperatorsSide {
    private readonly server: RpcServer;
    private readonly ready: PlainServer | undefined;

    /** @param options - Settings, and what is told. */
    constructor(private readonly options: OperatorsSideOptions) {
        const { settings, metrics, serviceOptions, onRefused } = options;
        const isReady = (): boolean => options.instance.stage === "serving";
        this.server = new RpcServer({
            settings: settings.operators,
            rpcPrefix: "/harrierhitch.operator.",
            openRpc: async () => (await import("../peers/rpc-listeners.js")).operatorsListener(serviceOptions()),
            fallback: plainOperatorsHandler({ registry: metrics.registry, isReady, refresh: () => this.refreshGauges() }),
            onRefused,
        });
        this.ready = settings.ready
            && new PlainServer({ settings: settings.ready, handler: readyHandler(settings.ready.path, isReady) });
    }

    /** Begins to serve operators; gives the port. */
    listen(): Promise<number> {
        return this.server.listen();
    }

    /** Begins to answer the balancer in front; gives the port, 0 where the settings name none. */
    async listenForReadiness(): Promise<number> {
        return await this.ready?.listen() ?? 0;
    }

    /** The metrics as they are scraped. */
    metricsText(): Promise<string> {
        this.refreshGauges();
        return this.options.metrics.registry.metrics();
    }

    /** Stops serving. */
    async close(): Promise<void> {
        await Promise.all([this.server.close(), this.ready?.close()]);
    }

    private refreshGauges(): void {
        const { metrics, instance, serviceOptions } = this.options;
        const { fleet, explanations, directory } = instance;
        metrics.inFlight.set(serviceOptions().requestsInFlight());
        metrics.records.set(explanations.entries);
        metrics.recordBytes.set(explanations.bytes);
        metrics.members.set(fleet?.members.alive.length ?? 1);
        metrics.listed.set(directory.upstreams.length);
        metrics.zonesOut.set(directory.zonesOut.length);
        metrics.knowledgeAge.set((fleet?.freshness.knownAgeMs ?? 0) / 1000);
        metrics.reader.set(fleet === undefined || fleet.roles.isReader ? 1 : 0);
    }
}
