/**
 * The fleet of modelled instances: real membership over a network that delays, drops and cuts.
 */

import type { FakeClock, SeededRandom } from "@harrierhitch/core";
import { Fleet, peerService } from "@harrierhitch/fleet";
import type { Instance } from "../../src/instance.js";
import { instanceFleetOptions } from "../../src/peers/instance-fleet.js";
import { EventLog } from "../../src/telemetry/event-log.js";
import { basePort, StoreNetwork } from "./store-network.js";

const zones = 3;

/** Joins instances to each other. */
export class ModelPeers {
    /** Instances that no other instance reaches. */
    readonly cutOff = new Set<number>();
    /** Whether the way between two instances is cut. */
    isSplit: (a: number, b: number) => boolean = () => false;
    private readonly network: StoreNetwork;
    private readonly fleets = new Map<number, Fleet>();

    constructor(private readonly clock: FakeClock, private readonly random: SeededRandom) {
        this.network = new StoreNetwork(clock, random, this.cutOff, (a, b) => this.isSplit(a, b));
    }

    /** Exchanges between instances. */
    get exchanges(): number {
        return this.network.exchanges;
    }

    /** Bytes that these and their answers had. */
    get exchangedBytes(): number {
        return this.network.bytes;
    }

    /** Joins an instance to the others. */
    join(index: number, instance: Instance): void {
        const never = (): never => {
            throw new TypeError("not used");
        };
        const log = new EventLog({ level: "silent", clock: this.clock });
        const fleet = new Fleet({
            ...instanceFleetOptions(instance, log),
            clock: this.clock,
            random: this.random,
            fleet: "model",
            availabilityZone: `zone-${index % zones}`,
            address: "127.0.0.1",
            port: basePort + index,
            seeds: [0, 1, 2].map(seed => ({ address: "127.0.0.1", port: basePort + seed })),
            clients: { to: peer => this.network.client(index, peer), close: () => undefined },
            onExchange: () => undefined,
            onLimited: () => undefined,
            onUnreachable: () => undefined,
        });
        this.network.open(
            index,
            peerService({ fleetName: "model", fleet, explain: never, status: never, onRejected: () => undefined }),
        );
        this.fleets.set(index, fleet);
        instance.fleet = fleet;
        fleet.start();
    }

    /** Ends an instance's part at once. */
    kill(index: number): void {
        this.fleets.get(index)?.stop();
        this.fleets.delete(index);
        this.network.close(index);
    }

    /** Ends all parts. */
    stop(): void {
        [...this.fleets.keys()].forEach(index => this.kill(index));
    }
}
