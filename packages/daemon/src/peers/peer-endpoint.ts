/**
 * The daemon's endpoint for other instances; loaded only if the settings configure it.
 *
 * @packageDocumentation
 */

import { parseEndpoint, type Settings } from "@harrierhitch/configuration";
import type { Clock, RandomSource } from "@harrierhitch/core";
import type { PeerAddress } from "@harrierhitch/fleet";
import type { FleetTimes } from "@harrierhitch/published";
import { detourPrefix } from "../detour/detour-address.js";
import { DetourListener } from "../detour/detour-listener.js";
import { respondNotFound } from "../operators/http-handlers.js";
import type { EventLog } from "../telemetry/event-log.js";
import { PathTelemetry } from "../telemetry/path-telemetry.js";
import type { RoutedTransport } from "../upstream/routed-transport.js";
import { ConnectClients } from "./connect-clients.js";
import { createFleet } from "./create-fleet.js";
import { instanceFleetOptions } from "./instance-fleet.js";
import type { RpcEndpointOptions } from "./rpc-endpoint-options.js";
import { RpcServer } from "./rpc-server.js";

/** Settings of the peers' endpoint. */
export type PeerSettings = NonNullable<Settings["peers"]>;

/** Options of {@link PeerEndpoint}. */
export interface PeerEndpointOptions extends RpcEndpointOptions {
    readonly settings: PeerSettings;
    readonly availabilityZone: string;
    readonly times: FleetTimes;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly transport: RoutedTransport;
    /** Whether this instance needs published changes and is able to read the platform. */
    readonly mayReadPlatform: () => boolean;
    /** Whether the last call of this instance to the platform did not fail. */
    readonly isPlatformReachable: () => boolean;
    /** Maximum size of the head of a caller's request, in bytes. */
    readonly maximumHeaderBytes: number;
}

/** Size of the URL of a detour without the caller's own URL, at most, in bytes. */
const maximumDetourAddressBytes = 4096;

/** Serves other instances and joins this one to their fleet. */
export class PeerEndpoint {
    /** Clients of the other instances. */
    readonly clients: ConnectClients;
    private readonly server: RpcServer;
    private readonly detours: DetourListener;

    /** @param options - Settings and the instance. */
    constructor(private readonly options: PeerEndpointOptions) {
        const { settings, instance, clock, log, metrics, transport, onRefused, maximumHeaderBytes } = options;
        this.detours = new DetourListener({
            clock,
            fleet: settings.fleet,
            transport,
            telemetry: new PathTelemetry(log, metrics),
            services: () => instance.services.all(),
            isMember: id => instance.fleet?.members.find(id) !== undefined,
            isStopping: () => instance.stage === "stopping",
            isStateCurrent: () => instance.stateGate.isOpen,
            awaitState: leftMs => instance.stateGate.wait(() => leftMs),
        });
        this.clients = new ConnectClients(settings);
        this.server = new RpcServer({
            settings,
            rpcPrefix: "/harrierhitch.fleet.",
            openRpc: async () => {
                const { peersListener } = await import("./rpc-listeners.js");
                return instance.fleet === undefined ? respondNotFound : peersListener({
                    fleetName: settings.fleet,
                    fleet: instance.fleet,
                    operators: options.serviceOptions(),
                    onRejected: onRefused,
                });
            },
            fallback: (request, response) =>
                request.url?.startsWith(detourPrefix) === true
                    ? this.detours.handle(request, response)
                    : respondNotFound(request, response),
            maximumHeaderBytes: maximumHeaderBytes + maximumDetourAddressBytes,
            onRefused,
        });
    }

    /** Starts serving other instances, joins the fleet, and returns the port. */
    async start(): Promise<number> {
        const { settings, instance, availabilityZone, clock, random, metrics, log, mayReadPlatform, isPlatformReachable } =
            this.options;
        const port = await this.server.listen();
        instance.fleet = createFleet({
            settings: { ...settings, port },
            seeds: seedsOf(settings),
            times: this.options.times,
            availabilityZone,
            clock,
            random,
            metrics,
            log,
            clients: this.clients,
            mayReadPlatform,
            isPlatformReachable,
            ...instanceFleetOptions(instance, log),
        });
        instance.fleet.start();
        return port;
    }

    /** Applies changed settings. */
    reload(settings: Settings["peers"]): void {
        this.options.instance.fleet?.replaceSeeds(seedsOf(settings));
    }

    /** Waits for the requests of other instances that are in flight; further ones are rejected since the stop began. */
    drain(): Promise<void> {
        return this.detours.drain();
    }

    /** Stops exchanging state with other instances and stops serving, immediately. */
    async close(): Promise<void> {
        this.options.instance.fleet?.stop();
        await this.server.close();
    }
}

const seedsOf = (settings: Settings["peers"]): readonly PeerAddress[] =>
    (settings?.seeds ?? "").split(",").flatMap(text => parseEndpoint(text) ?? []);
