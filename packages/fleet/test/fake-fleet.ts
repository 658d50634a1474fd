/**
 * A fleet in one process: the code of real instances on a fake clock, over a
 * network that delays, drops, repeats and cuts, by a seeded random source.
 */

import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { FakeClock, instanceId, SeededRandom } from "@harrierhitch/core";
import { CrashHistory, UpstreamLimits } from "@harrierhitch/decision";
import { PeerService } from "@harrierhitch/protocol";
import { ActiveConfiguration, type ApplyResult, UpstreamDirectory } from "@harrierhitch/published";
import { type DrainMessage, Fleet, type PeerAddress, peerService } from "../src/index.js";
import { discoveredUpstream } from "./discovered-upstream.js";

/** Faults of the network. */
export interface NetworkFaults {
    readonly maximumDelayMs: number;
    readonly dropShare: number;
    readonly repeatShare: number;
}

/** One running instance. */
export interface FakeNode {
    readonly id: string;
    readonly incarnation: number;
    readonly fleet: Fleet;
    readonly accepted: ActiveConfiguration;
    readonly directory: UpstreamDirectory;
    readonly crashes: CrashHistory;
    readonly limits: UpstreamLimits;
    /** Generations in force, in their order. */
    readonly generations: number[];
    readonly heard: DrainMessage[];
    offer(text: string): ApplyResult;
}

type Implementation = ReturnType<typeof peerService>;

const basePort = 7000;

const portOf = (id: string): number => basePort + Number(id.slice(1));

/** Several instances and their network. */
export class FakeFleet {
    readonly clock = new FakeClock();
    readonly random: SeededRandom;
    /** Messages that were delivered. */
    messages = 0;
    /** Bytes of requests and answers that were delivered. */
    bytes = 0;
    private readonly nodes = new Map<string, FakeNode>();
    private readonly services = new Map<string, Implementation>();
    private readonly cuts = new Set<string>();

    constructor(
        seed: number,
        private readonly faults: NetworkFaults = { maximumDelayMs: 4, dropShare: 0, repeatShare: 0 },
    ) {
        this.random = new SeededRandom(seed);
    }

    /** The instances that run. */
    get running(): readonly FakeNode[] {
        return [...this.nodes.values()];
    }

    node(id: string): FakeNode {
        const node = this.nodes.get(id);
        if (node === undefined) {
            throw new RangeError(`there is no instance ${id}`);
        }
        return node;
    }

    /** Starts an instance, which forgets what a former run of it knew. */
    start(id: string, seeds: readonly string[]): FakeNode {
        this.kill(id);
        const incarnation = Math.floor(this.clock.nowMs()) + 1 + Math.floor(this.random.next() * 1000);
        const accepted = new ActiveConfiguration();
        const directory = new UpstreamDirectory({
            clock: this.clock,
            read: (upstream, text) => ({ value: discoveredUpstream(upstream, text), findings: [] }),
            removalGraceMs: () => 0,
            onChange: () => undefined,
            onZoneChange: () => undefined,
            onRemovalConfirmed: () => undefined,
            onInvalid: () => undefined,
        });
        const crashes = new CrashHistory({ clock: this.clock });
        const limits = new UpstreamLimits({ clock: this.clock, instance: id });
        const generations: number[] = [];
        const heard: DrainMessage[] = [];
        const offer = (text: string): ApplyResult => {
            const result = accepted.apply("test", text);
            if (result.type === "accepted") {
                generations.push(result.configuration.generation);
                fleet.gossipNow();
            }
            return result;
        };
        const fleet = new Fleet({
            clock: this.clock,
            random: this.random,
            instance: instanceId(id),
            incarnation,
            fleet: "test",
            availabilityZone: `zone-${Number(id.slice(1)) % 3}`,
            address: "127.0.0.1",
            port: portOf(id),
            clients: { to: peer => this.clientFrom(id, peer), close: () => undefined },
            activeConfiguration: accepted,
            directory,
            crashes,
            limits,
            seeds: seeds.map(seed => ({ address: "127.0.0.1", port: portOf(seed) })),
            onConfiguration: (_, text) => void offer(text),
            onDirectory: () => undefined,
            onDrainMessage: rumor => heard.push(rumor),
            onSizeChange: () => undefined,
            onDistributorLost: () => undefined,
            onExchange: () => undefined,
            onLimited: () => undefined,
            onUnreachable: () => undefined,
        });
        const node: FakeNode = { id, incarnation, fleet, accepted, directory, crashes, limits, generations, heard, offer };
        const never = (): never => {
            throw new TypeError("not used");
        };
        this.services.set(
            id,
            peerService({
                fleetName: "test",
                fleet,
                explain: never,
                status: never,
                onRejected: () => undefined,
            }),
        );
        this.nodes.set(id, node);
        fleet.start();
        return node;
    }

    /** Ends an instance at once. */
    kill(id: string): void {
        this.nodes.get(id)?.fleet.stop();
        this.nodes.delete(id);
        this.services.delete(id);
    }

    /** Cuts the way from one instance to another, one way. */
    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    /** Cuts the ways between two groups, both ways. */
    split(left: readonly string[], right: readonly string[]): void {
        left.forEach(a =>
            right.forEach(b => {
                this.cut(a, b);
                this.cut(b, a);
            })
        );
    }

    /** Ends all cuts. */
    heal(): void {
        this.cuts.clear();
    }

    private clientFrom(from: string, peer: PeerAddress): Client<typeof PeerService> {
        const to = `n${peer.port - basePort}`;
        const methods = Object.values(PeerService.method).map(method => [
            method.localName,
            (request: never, options?: { readonly signal?: AbortSignal; }) =>
                this.deliver(from, to, options?.signal, async () => {
                    const service = this.services.get(to) as Readonly<Record<string, (message: unknown) => unknown>> | undefined;
                    const sent = toBinary(method.input, request);
                    this.bytes += sent.length;
                    const received = fromBinary(method.input, sent);
                    const response = await service?.[method.localName]?.(received);
                    const output = { $typeName: method.output.typeName, ...response as object } as never;
                    const answered = toBinary(method.output, output);
                    this.bytes += answered.length;
                    return fromBinary(method.output, answered);
                }),
        ]);
        return Object.fromEntries(methods) as Client<typeof PeerService>;
    }

    private deliver<Response>(
        from: string,
        to: string,
        signal: AbortSignal | undefined,
        handle: () => Promise<Response>,
    ): Promise<Response> {
        const { faults, clock, random } = this;
        return new Promise((resolve, reject) => {
            signal?.addEventListener("abort", () => reject(new TypeError("given up")), { once: true });
            const passes = (a: string, b: string): boolean =>
                this.services.has(b) && !this.cuts.has(`${a}>${b}`) && random.next() >= faults.dropShare;
            const once = (): void => {
                clock.after(random.next() * faults.maximumDelayMs, () => {
                    if (!passes(from, to)) {
                        return;
                    }
                    this.messages += 1;
                    void handle().then(response => {
                        clock.after(random.next() * faults.maximumDelayMs, () => {
                            if (passes(to, from)) {
                                resolve(response);
                            }
                        });
                    }, reject);
                });
            };
            once();
            if (random.next() < faults.repeatShare) {
                once();
            }
        });
    }
}
