/**
 * The network between modelled instances, with delays, isolated instances and partitions.
 */

import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { FakeClock, SeededRandom } from "@harrierhitch/core";
import type { PeerAddress, peerService } from "@harrierhitch/fleet";
import { PeerService } from "@harrierhitch/protocol";
import type { ModelLinks } from "./model-links.js";

/** Port of instance 0; the others follow. */
export const basePort = 7000;

const oneWayDelayMs = 2;

type Service = ReturnType<typeof peerService>;

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    /** Whether two instances are in different partitions. */
    readonly isPartitioned?: (a: number, b: number) => boolean;
    /** Time until an instance reads a message that has arrived, in milliseconds. */
    readonly readingDelayMs?: (id: number) => number;
    /** The links of the instances; messages take no time to pass them by default. */
    readonly links?: ModelLinks;
}

/** Transports exchanges between instances. */
export class PeerNetwork {
    /** Number of exchanges that reached their peer. */
    exchanges = 0;
    /** Bytes of these requests and of their responses. */
    bytes = 0;
    private readonly services = new Map<number, Service>();

    constructor(
        private readonly clock: FakeClock,
        private readonly random: SeededRandom,
        private readonly isolated: ReadonlySet<number>,
        private readonly options: PeerNetworkOptions = {},
    ) {}

    /** Makes an instance reachable. */
    register(id: number, service: Service): void {
        this.services.set(id, service);
    }

    /** Makes an instance unreachable; connections to it are reset. */
    unregister(id: number): void {
        this.services.delete(id);
    }

    /** Returns the client with which an instance calls a peer. */
    client(from: number, peer: PeerAddress): Client<typeof PeerService> {
        const to = peer.port - basePort;
        const { input, output } = PeerService.method.exchange;
        const { isPartitioned = () => false } = this.options;
        const isDisconnected = (): boolean => this.isolated.has(from) || this.isolated.has(to) || isPartitioned(from, to);
        const exchange = (request: never, { signal }: { readonly signal?: AbortSignal; } = {}) =>
            new Promise((resolve, reject) => {
                signal?.addEventListener("abort", () => reject(new TypeError("aborted")), { once: true });
                const sent = toBinary(input, request);
                void this.transfer(from, to, sent.length).then(async () => {
                    const service = this.services.get(to);
                    if (isDisconnected()) {
                        return;
                    }
                    if (service === undefined) {
                        reject(new TypeError("reset"));
                        return;
                    }
                    this.exchanges += 1;
                    this.bytes += sent.length;
                    const received = fromBinary(input, sent);
                    const response = await (service.exchange as (message: unknown) => unknown)(received);
                    const message = { $typeName: output.typeName, ...response as object } as never;
                    const replied = toBinary(output, message);
                    await this.transfer(to, from, replied.length);
                    if (!isDisconnected()) {
                        this.bytes += replied.length;
                        resolve(fromBinary(output, replied));
                    }
                }).catch(reject);
            });
        return { exchange } as unknown as Client<typeof PeerService>;
    }

    /** Waits until a message has passed both links, each of which sends one message after another, and has been read. */
    private async transfer(from: number, to: number, bytes: number): Promise<void> {
        const { readingDelayMs = () => 0, links } = this.options;
        const nowMs = this.clock.nowMs();
        const arrivedAtMs = links?.receive(to, bytes, links.send(from, bytes)).endsAtMs ?? nowMs;
        const delayMs = arrivedAtMs - nowMs + oneWayDelayMs * (0.5 + this.random.next()) + readingDelayMs(to);
        await new Promise<void>(resolve => this.clock.after(delayMs, resolve));
    }
}
