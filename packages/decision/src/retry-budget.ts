/**
 * The retry budget of one instance.
 *
 * @packageDocumentation
 */

/** Limits the attempts beyond the first of each request, for one service on one instance. */
export interface RetryLimit {
    /**
     * Changes the limit.
     *
     * @param ratio - Retries allowed per request.
     * @param burst - Retries allowed beyond that; unchanged if absent.
     */
    configure(ratio: number, burst?: number): void;
    /** Records one request. */
    deposit(): void;
    /** Whether one more retry is allowed now. */
    canWithdraw(): boolean;
    /**
     * Records one retry if it is allowed.
     *
     * @returns Whether it is.
     */
    tryWithdraw(): boolean;
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries allowed per request, for example 0.1. */
    readonly ratio: number;
    /** Most retries that can accumulate. */
    readonly maximumBalance?: number;
}

const defaultMaximumBalance = 10;

/** Tolerance for sums of fractions: ten tenths add up to a little less than one. */
const roundingError = 1e-9;

/**
 * Limits retries to a ratio of requests. Requests, not time, fill the budget, so that an instance that was suspended has
 * accumulated nothing.
 */
export class RetryBudget implements RetryLimit {
    private balance: number;
    private maximumBalance: number;
    private ratio: number;

    /** @param options - Ratio and bound. */
    constructor(options: RetryBudgetOptions) {
        this.maximumBalance = options.maximumBalance ?? defaultMaximumBalance;
        this.ratio = options.ratio;
        this.balance = this.maximumBalance;
    }

    /** Changes the ratio and, if given, the bound. */
    configure(ratio: number, maximumBalance = this.maximumBalance): void {
        this.ratio = ratio;
        this.maximumBalance = maximumBalance;
        this.balance = Math.min(this.balance, maximumBalance);
    }

    /** Records one request, which adds the ratio to the balance. */
    deposit(): void {
        this.balance = Math.min(this.maximumBalance, this.balance + this.ratio);
    }

    canWithdraw(): boolean {
        return this.balance >= 1 - roundingError;
    }

    /**
     * Withdraws one retry from the budget.
     *
     * @returns Whether the budget allowed it.
     */
    tryWithdraw(): boolean {
        if (!this.canWithdraw()) {
            return false;
        }
        this.balance -= 1;
        return true;
    }
}
