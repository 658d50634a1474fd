/**
 * The network between modelled instances: it delays, and cuts instances off.
 */

import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import type { FakeClock, SeededRandom } from "@harrierhitch/core";
import type { PeerAddress, peerService } from "@harrierhitch/fleet";
import { PeerService } from "@harrierhitch/protocol";

/** Port of instance 0. */
export const basePort = 7000;

const hopMs = 2;

type Service = ReturnType<typeof peerService>;

/** Carries exchanges between instances. */
export class StoreNetwork {
    /** Exchanges that arrived. */
    exchanges = 0;
    /** Bytes that they and their answers had. */
    bytes = 0;
    private readonly services = new Map<number, Service>();

    constructor(
        private readonly clock: FakeClock,
        private readonly random: SeededRandom,
        private readonly cutOff: ReadonlySet<number>,
        /** Whether the way between two instances is cut. */
        private readonly isSplit: (a: number, b: number) => boolean = () => false,
    ) {}

    /** Lets an instance be reached. */
    open(id: number, service: Service): void {
        this.services.set(id, service);
    }

    /** Lets an instance no longer be reached. */
    close(id: number): void {
        this.services.delete(id);
    }

    /** The client of one instance, as another one uses it. */
    client(from: number, peer: PeerAddress): Client<typeof PeerService> {
        const to = peer.port - basePort;
        const { input, output } = PeerService.method.exchange;
        const isCut = (): boolean => this.cutOff.has(from) || this.cutOff.has(to) || this.isSplit(from, to);
        const hop = (): Promise<void> => new Promise(resolve => this.clock.after(hopMs * (0.5 + this.random.next()), resolve));
        const exchange = (request: never, { signal }: { readonly signal?: AbortSignal; } = {}) =>
            new Promise((resolve, reject) => {
                signal?.addEventListener("abort", () => reject(new TypeError("given up")), { once: true });
                void hop().then(async () => {
                    const service = this.services.get(to);
                    if (isCut()) {
                        return;
                    }
                    if (service === undefined) {
                        reject(new TypeError("reset"));
                        return;
                    }
                    this.exchanges += 1;
                    const sent = toBinary(input, request);
                    this.bytes += sent.length;
                    const received = fromBinary(input, sent);
                    const response = await (service.exchange as (message: unknown) => unknown)(received);
                    await hop();
                    if (!isCut()) {
                        const message = { $typeName: output.typeName, ...response as object } as never;
                        const answered = toBinary(output, message);
                        this.bytes += answered.length;
                        resolve(fromBinary(output, answered));
                    }
                }).catch(reject);
            });
        return { exchange } as unknown as Client<typeof PeerService>;
    }
}
