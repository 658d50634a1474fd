/**
 * Request IDs, which contain the deciding instance.
 *
 * @packageDocumentation
 */

import { type InstanceId, instanceId, type RequestId, requestId } from "@harrierhitch/core";

/** Creates IDs of the form `instance.incarnation.number`, with numbers in base 36. */
export class RequestIds {
    private count = 0;
    private readonly prefix: string;

    /**
     * @param instance - The deciding instance.
     * @param incarnation - Distinguishes restarts of the instance.
     */
    constructor(instance: InstanceId, incarnation: number) {
        this.prefix = `${instance}.${incarnation.toString(36)}.`;
    }

    next(): RequestId {
        this.count += 1;
        return requestId(this.prefix + this.count.toString(36));
    }
}

/** Returns the instance that decided a request; `undefined` if the ID has another form. */
export const instanceOf = (id: RequestId): InstanceId | undefined => {
    const match = /^([a-z0-9-]+)\.[0-9a-z]+\.[0-9a-z]+$/.exec(id);
    return match?.[1] === undefined ? undefined : instanceId(match[1]);
};
