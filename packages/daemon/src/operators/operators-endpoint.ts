/**
 * The daemon's endpoint for operators and for the load balancer in front of it.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { processHeapUse } from "../heap-watch.js";
import type { RpcEndpointOptions } from "../peers/rpc-endpoint-options.js";
import { RpcServer } from "../peers/rpc-server.js";
import { operatorsHttpHandler, readinessHandler } from "./http-handlers.js";
import { HttpServer } from "./http-server.js";

/** Options of {@link OperatorsEndpoint}. */
export interface OperatorsEndpointOptions extends RpcEndpointOptions {
    readonly settings: Settings;
    /** Updates the gauges that are not read from the instance. */
    readonly refreshGauges: () => void;
}

/** Serves operators' RPC calls, metrics and readiness. */
export class OperatorsEndpoint {
    private readonly server: RpcServer;
    private readonly readiness: HttpServer | undefined;

    /** @param options - Settings and the state that is exposed. */
    constructor(private readonly options: OperatorsEndpointOptions) {
        const { settings, metrics, serviceOptions, onRefused } = options;
        const isReady = (): boolean => options.instance.stage === "serving";
        this.server = new RpcServer({
            settings: settings.operators,
            rpcPrefix: "/harrierhitch.operator.",
            openRpc: async () => (await import("../peers/rpc-listeners.js")).operatorsListener(serviceOptions()),
            fallback: operatorsHttpHandler({ registry: metrics.registry, isReady, refresh: () => this.refreshGauges() }),
            onRefused,
        });
        this.readiness = settings.ready
            && new HttpServer({ settings: settings.ready, handler: readinessHandler(settings.ready.path, isReady) });
    }

    /** Starts serving operators and returns the port. */
    listen(): Promise<number> {
        return this.server.listen();
    }

    /** Starts the readiness server and returns its port; 0 if it is not configured. */
    async listenForReadiness(): Promise<number> {
        return await this.readiness?.listen() ?? 0;
    }

    /** Metrics in the Prometheus text format. */
    metricsText(): Promise<string> {
        this.refreshGauges();
        return this.options.metrics.registry.metrics();
    }

    /** Stops serving. */
    async close(): Promise<void> {
        await Promise.all([this.server.close(), this.readiness?.close()]);
    }

    private refreshGauges(): void {
        const { metrics, instance, serviceOptions } = this.options;
        const { fleet, explanations, directory } = instance;
        this.options.refreshGauges();
        metrics.inFlight.set(serviceOptions().requestsInFlight());
        metrics.records.set(explanations.entries);
        metrics.recordBytes.set(explanations.bytes);
        metrics.configurations.set(instance.activeConfiguration.liveVersions);
        metrics.heapLimit.set(processHeapUse().limitBytes);
        metrics.members.set(fleet?.members.alive.length ?? 1);
        metrics.discoveredUpstreams.set(directory.upstreams.length);
        metrics.zonesOut.set(directory.zonesOutOfService.length);
        metrics.platformStaleness.set((fleet?.stalenessTracker.confirmedStalenessMs ?? 0) / 1000);
        metrics.reader.set(fleet === undefined || fleet.roles.isReader ? 1 : 0);
    }
}
