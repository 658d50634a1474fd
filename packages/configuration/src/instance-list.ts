/**
 * The instance list that the platform publishes. It lags.
 *
 * @packageDocumentation
 */

import { z } from "zod";
import { checkDocument, type Checked } from "./check.js";
import { addressKey, choiceKey, integerKey, nameKey, namePattern } from "./key.js";
import { LocatedIni } from "./located-ini.js";

/** Schema of the instance list. */
export const instanceListSchema = z.strictObject({
    revision: integerKey({
        description: "Number of this list; one with a lower number than the last is left aside.",
        minimum: 0,
        maximum: Number.MAX_SAFE_INTEGER,
    }),
    instance: z.record(
        z.string().regex(namePattern, "expected a name of lower-case letters, digits and hyphens"),
        z.strictObject({
            role: choiceKey(["entry", "upstream"], { description: "What runs on the instance." }),
            state: choiceKey(["live", "leaving"], { description: "Whether the instance is leaving." }),
            address: addressKey({ description: "IP number of the instance." }),
            port: integerKey({
                description: "Port for operators of an entry instance, for requests of an upstream.",
                minimum: 1,
                maximum: 65535,
            }),
            availabilityZone: nameKey({ description: "Availability zone of the instance." }),
        }),
    ).default({}),
});

/** The checked instance list. */
export interface InstanceList {
    readonly revision: number;
    /** Instances and upstreams by their id. */
    readonly instances: ReadonlyMap<string, ListedInstance>;
}

/** One entry of the instance list. */
export type ListedInstance = z.output<typeof instanceListSchema>["instance"][string];

/**
 * Reads and checks an instance list.
 *
 * @param file - Name of the file or key, for findings.
 * @param text - The list's text.
 */
export const checkInstanceList = (file: string, text: string): Checked<InstanceList> => {
    const checked = checkDocument(LocatedIni.read(file, text), instanceListSchema);
    if (checked.value === undefined) {
        return checked;
    }
    const { revision, instance } = checked.value;
    return { value: { revision, instances: new Map(Object.entries(instance)) }, findings: [] };
};
