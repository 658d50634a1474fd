/**
 * The section `budgets` of the settings: limits of attempts and probes of the fleet.
 *
 * @packageDocumentation
 */

import * as z from "zod";
import { integerKey, numberKey } from "./key.js";

/** Limits of further attempts and of probes. */
export const budgetsSection = z.strictObject({
    retryShare: numberKey({
        description: "Maximum attempts of the fleet beyond the first of each request, as a share of a service's requests.",
        minimum: 0,
        maximum: 1,
    }),
    retrySlack: numberKey({
        description: "Maximum burst of attempts of the fleet beyond that share, for each service.",
        minimum: 0,
        maximum: 1_000_000,
    }),
    retryWindowMs: integerKey({
        description: "Window in which retries are limited to that share; 0 for a budget that only accumulates up to the burst.",
        unit: "ms",
        minimum: 0,
        maximum: 600_000,
        defaultValue: 0,
    }),
    probesPerSecond: numberKey({
        description: "Maximum rate of probes from the fleet to one upstream.",
        unit: "1/s",
        minimum: 0,
        maximum: 100_000,
    }),
}).optional();
