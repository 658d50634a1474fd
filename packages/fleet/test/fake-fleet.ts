/**
 * A fleet in one process: the code of real instances on a fake clock, over a
 * network that delays, drops, repeats and cuts, by a seeded random source.
 */

import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { FakeClock, instanceId, SeededRandom, sleep } from "@harrierhitch/core";
import { PeerService } from "@harrierhitch/protocol";
import {
    AcceptedConfiguration,
    type ClaimResult,
    Fleet,
    type HeardRumor,
    type OfferResult,
    type PeerAddress,
    peerService,
} from "../src/index.js";

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
    readonly accepted: AcceptedConfiguration;
    /** Generations in force, in their order. */
    readonly generations: number[];
    readonly heard: HeardRumor[];
    offer(text: string): OfferResult;
}

type Implementation = ReturnType<typeof peerService>;

const basePort = 7000;

/** Several instances and their network. */
export class FakeFleet {
    readonly clock = new FakeClock();
    readonly random: SeededRandom;
    /** How often each key was run. */
    readonly runs = new Map<string, number>();
    /** Messages that were delivered. */
    messages = 0;
    private readonly nodes = new Map<string, FakeNode>();
    private readonly services = new Map<string, Implementation>();
    private readonly cuts = new Set<string>();
    private revision = 1;
    private readonly trustsColdStart: boolean;

    constructor(
        seed: number,
        private readonly faults: NetworkFaults = { maximumDelayMs: 4, dropShare: 0, repeatShare: 0 },
        trustsColdStart = true,
    ) {
        this.trustsColdStart = trustsColdStart;
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

    /** The text of a list of these instances, newer than any before. */
    newList(ids: readonly string[], revision = this.revision++): string {
        const entry = (id: string): string =>
            `[instance.${id}]\nrole = entry\nstate = live\naddress = 127.0.0.1\nport = ${
                basePort + Number(id.slice(1))
            }\navailabilityZone = zone-${Number(id.slice(1)) % 3}\n`;
        return `revision = ${revision}\n${ids.map(entry).join("")}`;
    }

    /** Starts an instance, which forgets what a former run of it knew. */
    start(id: string, list: string): FakeNode {
        this.kill(id);
        const incarnation = Math.floor(this.clock.nowMs()) + 1 + Math.floor(this.random.next() * 1000);
        const accepted = new AcceptedConfiguration();
        const generations: number[] = [];
        const heard: HeardRumor[] = [];
        const offer = (text: string): OfferResult => {
            const result = accepted.offer("test", text);
            if (result.type === "accepted") {
                generations.push(result.configuration.generation);
                fleet.wakeLinks();
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
            port: basePort + Number(id.slice(1)),
            clients: { to: peer => this.clientFrom(id, peer), close: () => undefined },
            accepted,
            keyTtlMs: () => 60_000,
            trustsColdStart: () => this.trustsColdStart,
            onConfiguration: (_, text) => void offer(text),
            onView: () => undefined,
            onRumor: rumor => heard.push(rumor),
        });
        const node: FakeNode = { id, incarnation, fleet, accepted, generations, heard, offer };
        const never = (): never => {
            throw new TypeError("not used");
        };
        this.services.set(
            id,
            peerService({
                clock: this.clock,
                fleetName: "test",
                fleet,
                explain: never,
                status: never,
                onRefused: () => undefined,
            }),
        );
        this.nodes.set(id, node);
        fleet.start();
        fleet.takeList(list);
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

    /** Sends a keyed request to an instance, as a request task does, and gives what its caller is told. */
    async send(id: string, key: string, serviceMs = 20, timeoutMs = 1000): Promise<ClaimResult["type"] | "ran"> {
        const node = this.node(id);
        const result = await node.fleet.claimer.claim(key, "same", this.clock.nowMs() + timeoutMs);
        if (result.type !== "granted") {
            return result.type;
        }
        this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
        await sleep(this.clock, serviceMs);
        if (this.nodes.get(id) === node) {
            const answer = { status: 200, headers: [], body: Buffer.from(key) };
            node.fleet.claimer.finish(key, result.claimId, { outcome: "ran", answer });
        }
        return "ran";
    }

    private clientFrom(from: string, peer: PeerAddress): Client<typeof PeerService> {
        const to = `n${peer.port - basePort}`;
        const methods = Object.values(PeerService.method).map(method => [
            method.localName,
            (request: never, options?: { readonly signal?: AbortSignal; }) =>
                this.deliver(from, to, options?.signal, async () => {
                    const service = this.services.get(to) as Readonly<Record<string, (message: unknown) => unknown>> | undefined;
                    const received = fromBinary(method.input, toBinary(method.input, request));
                    const response = await service?.[method.localName]?.(received);
                    const output = { $typeName: method.output.typeName, ...response as object } as never;
                    return fromBinary(method.output, toBinary(method.output, output));
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
