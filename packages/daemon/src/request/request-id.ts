/**
 * Request ids that name the instance which decided.
 *
 * @packageDocumentation
 */

import { type InstanceId, instanceId, type RequestId, requestId } from "@harrierhitch/core";

/** Makes ids of the form `instance.incarnation.number`, in base 36. */
export class RequestIds {
    private count = 0;
    private readonly prefix: string;

    /**
     * @param instance - The deciding instance.
     * @param incarnation - Tells apart the runs of one instance.
     */
    constructor(instance: InstanceId, incarnation: number) {
        this.prefix = `${instance}.${incarnation.toString(36)}.`;
    }

    /** The next id. */
    next(): RequestId {
        this.count += 1;
        return requestId(this.prefix + this.count.toString(36));
    }
}

/** The instance that decided a request; `undefined` when the id is not one of harrierhitch. */
export const instanceOf = (id: RequestId): InstanceId | undefined => {
    const match = /^([a-z0-9-]+)\.[0-9a-z]+\.[0-9a-z]+$/.exec(id);
    return match?.[1] === undefined ? undefined : instanceId(match[1]);
};
