/**
 * The budget of retries of one instance.
 *
 * @packageDocumentation
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries allowed per request, for example 0.1. */
    readonly ratio: number;
    /** Most retries that can be saved up. */
    readonly maximumBalance?: number;
}

const defaultMaximumSaved = 10;

/** Ten tenths add up to a little less than one. */
const roundingError = 1e-9;

/**
 * Allows retries as a share of requests. The budget is earned by requests, not
 * by time, so that an instance that slept has saved up nothing.
 */
export class RetryBudget {
    private saved: number;
    private maximumSaved: number;
    private share: number;

    /** @param options - Share and bound. */
    constructor(options: RetryBudgetOptions) {
        this.maximumSaved = options.maximumBalance ?? defaultMaximumSaved;
        this.share = options.ratio;
        this.saved = this.maximumSaved;
    }

    /** Changes the share, and the bound on what is saved where one is given, as a new configuration says. */
    configure(share: number, maximumSaved = this.maximumSaved): void {
        this.share = share;
        this.maximumSaved = maximumSaved;
        this.saved = Math.min(this.saved, maximumSaved);
    }

    /** Notes one request, which earns its share. */
    deposit(): void {
        this.saved = Math.min(this.maximumSaved, this.saved + this.share);
    }

    /** Whether there is a retry to take. */
    canWithdraw(): boolean {
        return this.saved >= 1 - roundingError;
    }

    /**
     * Takes one retry out of the budget.
     *
     * @returns Whether there was one.
     */
    tryWithdraw(): boolean {
        if (!this.canWithdraw()) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
