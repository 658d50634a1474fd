/**
 * This instance's shares of the fleet's budgets.
 *
 * @packageDocumentation
 */

import type { Configuration, Settings } from "@harrierhitch/configuration";

export interface InstanceBudgets {
    /** Retries earned per request. */
    readonly retryShare: number;
    /** Maximum number of accumulated retries per service. */
    readonly retryBurst: number;
    /** Probes per second of each upstream. */
    readonly probesPerSecond: number;
    /** Number of instances between which the fixed parts are divided. */
    readonly instances: number;
}

/** Fraction of each budget that is used; the rest is a margin for events that are counted at different times. */
const spentFraction = 0.85;

/** Maximum number of accumulated retries if the settings contain no budgets. */
const defaultRetryBurst = 10;

/**
 * Lower bound of the maximum of accumulated retries; below 1, no retry would ever be possible. Not needed with a retry window,
 * whose requests allow retries by themselves.
 */
const minimumRetryBurst = 1.2;

/**
 * Divides the fleet's budgets. Retries earned by requests need no division, because each instance spends only what its own
 * requests earned; fixed parts are divided by the number of instances.
 *
 * @param configuration - The active configuration.
 * @param budgets - Budgets of the fleet in the settings; they take precedence over the configuration's.
 * @param members - Number of instances that may be running; `undefined` if standalone. The configured maximum applies if
 * it is higher, since a starting instance has not discovered all members.
 */
export const divideBudgets = (
    configuration: Configuration,
    budgets: Settings["budgets"],
    members: number | undefined,
): InstanceBudgets => {
    const { fleet } = configuration;
    const instances = Math.max(1, fleet.maximumInstances, members ?? 0);
    if (budgets === undefined) {
        return {
            retryShare: fleet.retryPercent / 100,
            retryBurst: defaultRetryBurst,
            probesPerSecond: fleet.probesPerSecond / instances,
            instances,
        };
    }
    return {
        retryShare: budgets.retryShare * spentFraction,
        retryBurst: Math.max(budgets.retryWindowMs > 0 ? 0 : minimumRetryBurst, budgets.retrySlack * spentFraction / instances),
        probesPerSecond: budgets.probesPerSecond * spentFraction / instances,
        instances,
    };
};
