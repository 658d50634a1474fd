/**
 * Reads which upstreams an instance holds to be draining.
 *
 * @packageDocumentation
 */

import type { EntryProcess } from "./entry-process.js";

interface Status {
    readonly instances: readonly { readonly upstreams?: readonly { readonly facts: { id: string; state: string; }; }[]; }[];
}

/**
 * Reads from the status of an instance which upstreams it holds to be draining.
 *
 * @param entry - The instance.
 * @returns Names of the upstreams.
 */
export const readDrainingUpstreams = async ({ options: { operatorsPort } }: EntryProcess): Promise<readonly string[]> => {
    const url = `http://127.0.0.1:${operatorsPort}/harrierhitch.operator.v1.OperatorService/GetStatus`;
    const headers = { "content-type": "application/json" };
    const response = await fetch(url, { method: "POST", headers, body: JSON.stringify({ localOnly: true }) });
    const { instances } = await response.json() as Status;
    return instances
        .flatMap(({ upstreams = [] }) => upstreams)
        .filter(({ facts: { state } }) => state === "draining")
        .map(({ facts: { id } }) => id);
};
