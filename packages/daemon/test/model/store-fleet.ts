/**
 * Many instances that follow one store, on a fake clock: real fleets and real links to the platform, over a network that
 * delays and cuts.
 */

import { FakeClock, instanceId, SeededRandom, upstreamId } from "@harrierhitch/core";
import { CrashHistory, UpstreamLimits } from "@harrierhitch/decision";
import { Fleet, peerService } from "@harrierhitch/fleet";
import { ActiveConfiguration, fleetTimesFor, UpstreamDirectory } from "@harrierhitch/published";
import { PlatformLink } from "../../src/platform/platform-link.js";
import { type Platform, PlatformError, type Publication } from "../../src/platform/platform.js";
import { EventLog } from "../../src/telemetry/event-log.js";
import { silentDirectory } from "./silent-directory.js";
import { basePort, StoreNetwork } from "./store-network.js";

/** Time for which an instance serves alone at least before it joins the others. */
const joinDelayMs = 2000;

const zones = 6;
const storeDelayMs = 4;

interface Running {
    readonly id: number;
    readonly directory: UpstreamDirectory;
    readonly link: PlatformLink;
    readonly startedAtMs: number;
    hasCallers: boolean;
    fleet: Fleet | undefined;
    ended: boolean;
}

/** A fleet of instances and the store that they read. */
export class StoreFleet {
    readonly clock = new FakeClock();
    readonly random: SeededRandom;
    readonly instances = new Map<number, Running>();
    /** Calls to the store; a read that may be old counts a tenth. */
    calls = 0;
    /** The store's revision, with the time of each. */
    readonly publishedAtMs = [0, 0];
    /** Instances that the store does not serve. */
    readonly turnedAway = new Set<number>();
    /** Instances that nobody reaches, though they run. */
    readonly cutOff = new Set<number>();
    isDown = false;
    /** Time after which a call that the store does not answer is given up, in milliseconds, beyond the time for which it may wait. */
    silentCallMs = 500;
    /** Whether such a call also lasts for as long as it may wait: where a store falls silent, nothing ends it sooner. */
    isMute = false;
    private readonly network: StoreNetwork;

    /**
     * @param seed - Of the random source.
     * @param boundMs - The bound that the fleet has to keep.
     * @param breaks - Makes a planted fault of each link, to show that the checks see it.
     */
    constructor(seed: number, readonly boundMs: number, private readonly breaks: (link: PlatformLink) => void = () => undefined) {
        this.random = new SeededRandom(seed);
        this.network = new StoreNetwork(this.clock, this.random, this.cutOff);
    }

    /** Exchanges between instances. */
    get exchanges(): number {
        return this.network.exchanges;
    }

    /** The store's revision. */
    get revision(): number {
        return this.publishedAtMs.length - 1;
    }

    /** Publishes a change. */
    publish(): void {
        this.publishedAtMs.push(this.clock.nowMs());
    }

    /** Starts an instance, anew if it runs. */
    start(id: number): void {
        this.kill(id);
        const { clock, random } = this;
        const times = fleetTimesFor(this.boundMs);
        const directory = silentDirectory(clock);
        const instance = {
            fleet: undefined as Fleet | undefined,
            directory,
            recordPlatformFailure: () => undefined,
            applyPublication: ({ revision, listings, zones }: Publication, isWhole: boolean) => {
                const before = directory.revision;
                directory.merge({ revision, isSnapshot: isWhole, entries: listings, zones });
                if (before !== directory.revision) {
                    instance.fleet?.gossipNow();
                }
            },
        };
        const link = new PlatformLink({
            platform: this.platformOf(id),
            clock,
            random,
            instance,
            log: new EventLog({ level: "silent" }),
            retryMs: 250,
            watchMs: 4000,
            times,
            willJoin: () => instance.fleet === undefined,
            hasCallers: () => running.hasCallers,
            checkForStall: () => undefined,
        });
        this.breaks(link);
        const running: Running = {
            id,
            directory,
            link,
            startedAtMs: clock.nowMs(),
            hasCallers: false,
            fleet: undefined,
            ended: false,
        };
        this.instances.set(id, running);
        link.start();
        clock.after(joinDelayMs * (1 + 0.5 * random.next()), () => {
            if (!running.ended) {
                instance.fleet = this.join(id, directory);
                running.fleet = instance.fleet;
            }
        });
    }

    /** Ends an instance at once. */
    kill(id: number): void {
        const running = this.instances.get(id);
        if (running !== undefined) {
            running.ended = true;
            running.link.stop();
            running.fleet?.stop();
            this.instances.delete(id);
            this.network.close(id);
        }
    }

    /** Ends everything. */
    stop(): void {
        [...this.instances.keys()].forEach(id => this.kill(id));
    }

    /** Instances with callers that do not know what was published longer ago than some time. */
    behindBy(ms: number): readonly number[] {
        const beforeMs = this.clock.nowMs() - ms;
        const due = this.publishedAtMs.filter(atMs => atMs <= beforeMs).length - 1;
        return [...this.instances.values()].filter(({ directory, hasCallers }) => hasCallers && directory.revision < due).map((
            { id },
        ) => id);
    }

    private platformOf(id: number): Platform {
        return {
            read: (_, mayBeStale) => this.answer(id, mayBeStale ? 0.1 : 1, 0),
            watch: async (revision, signal, waitMs) => {
                if (this.isMute && !this.serves(id)) {
                    await new Promise<void>(resolve => this.clock.after(waitMs, resolve));
                }
                const untilMs = this.clock.nowMs() + waitMs;
                while (this.serves(id) && revision >= this.revision && this.clock.nowMs() < untilMs && !signal.aborted) {
                    await new Promise<void>(resolve => this.clock.after(50, resolve));
                }
                return await this.answer(id, 1, revision);
            },
        };
    }

    private serves(id: number): boolean {
        return !this.isDown && !this.turnedAway.has(id) && !this.cutOff.has(id);
    }

    private async answer(id: number, price: number, after: number): Promise<Publication> {
        this.calls += price;
        await new Promise<void>(resolve => this.clock.after(this.serves(id) ? storeDelayMs : this.silentCallMs, resolve));
        if (!this.serves(id)) {
            throw new PlatformError("the store does not answer");
        }
        const { revision } = this;
        const listings = after < revision ? [{ upstream: upstreamId("a"), revision, text: "ready" }] : [];
        return { revision, configuration: undefined, listings, zones: [] };
    }

    private join(id: number, directory: UpstreamDirectory): Fleet {
        const { clock, random } = this;
        const never = (): never => {
            throw new TypeError("not used");
        };
        const fleet = new Fleet({
            clock,
            random,
            instance: instanceId(`n${id}`),
            incarnation: Math.floor(clock.nowMs()) + 1,
            fleet: "test",
            availabilityZone: `zone-${id % zones}`,
            address: "127.0.0.1",
            port: basePort + id,
            seeds: [0, 1, 2].map(seed => ({ address: "127.0.0.1", port: basePort + seed })),
            clients: { to: peer => this.network.client(id, peer), close: () => undefined },
            activeConfiguration: new ActiveConfiguration(),
            directory,
            crashes: new CrashHistory({ clock: this.clock }),
            limits: new UpstreamLimits({ clock, instance: `n${id}` }),
            times: fleetTimesFor(this.boundMs),
            onConfiguration: () => undefined,
            onDirectory: () => undefined,
            onDrainMessage: () => undefined,
            onSizeChange: () => undefined,
            onDistributorLost: () => undefined,
            onExchange: () => undefined,
            onLimited: () => undefined,
            onUnreachable: () => undefined,
        });
        this.network.open(
            id,
            peerService({ fleetName: "test", fleet, explain: never, status: never, onRejected: () => undefined }),
        );
        fleet.start();
        return fleet;
    }
}
