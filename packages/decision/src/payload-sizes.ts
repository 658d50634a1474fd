/**
 * Expected payload of each kind of request.
 *
 * @packageDocumentation
 */

import type { RequestKind } from "@harrierhitch/configuration";

/** Payload assumed for a kind without large payloads: a few segments, so that such requests do not wait at home. */
const assumedSmallBytes = 4000;

/** Payload assumed for a kind with large requests or responses: the average download of the deployments. */
const assumedLargeBytes = 90_000;

/** Weight of a new payload in the moving average: sizes within a kind vary by a factor of six. */
const payloadAlpha = 0.05;

/** Learns the bytes of requests and responses from the attempts of this instance. */
export class PayloadSizes {
    private readonly bytesByKind = new Map<string, number>();

    /** Records the bytes of a request's body and its response. */
    record(kind: Pick<RequestKind, "name" | "largePayload">, bytes: number): void {
        // The first payload replaces the assumption, which may be ten times as large.
        const previous = this.bytesByKind.get(kind.name) ?? bytes;
        this.bytesByKind.set(kind.name, previous + payloadAlpha * (bytes - previous));
    }

    /** Returns the expected bytes of a request's body and its response. */
    expectedBytes({ name, largePayload }: Pick<RequestKind, "name" | "largePayload">): number {
        return this.bytesByKind.get(name) ?? (largePayload === "none" ? assumedSmallBytes : assumedLargeBytes);
    }
}
