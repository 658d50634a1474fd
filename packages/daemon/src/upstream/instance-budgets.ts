/**
 * This instance's shares of the budgets of the whole fleet.
 *
 * @packageDocumentation
 */

import type { Configuration, Settings } from "@harrierhitch/configuration";

/** What one instance may spend. */
export interface InstanceBudgets {
    /** Attempts beyond the first, earned by each request. */
    readonly retryShare: number;
    /** Most of them that are saved up for each service. */
    readonly retryBurst: number;
    /** Probes of one upstream, for each second. */
    readonly probesPerSecond: number;
}

/** Share of each budget that is used: requests are counted at other moments by whoever checks it. */
const usedShare = 0.85;

/** Attempts that each instance saves up where the settings name no budget. */
const defaultRetriesSaved = 10;

/** Saved attempts below which no second attempt could ever be made. */
const minimumRetriesSaved = 1.2;

/**
 * Divides the budgets. What requests earn needs no dividing: each instance
 * spends only what its own requests have earned, so the sum holds also after a
 * split. Only the fixed parts are divided by the number of instances.
 *
 * @param configuration - The configuration in force.
 * @param budgets - Budgets of the whole fleet by the settings, which go before the configuration's.
 * @param members - Instances that may be running as far as is known; `undefined` for one that works alone. Fewer than
 *   the configured number count as that number, since whoever has just started knows few.
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
            retryBurst: defaultRetriesSaved,
            probesPerSecond: fleet.probesPerSecond / instances,
        };
    }
    return {
        retryShare: budgets.retryShare * usedShare,
        retryBurst: Math.max(minimumRetriesSaved, budgets.retrySlack * usedShare / instances),
        probesPerSecond: budgets.probesPerSecond * usedShare / instances,
    };
};
