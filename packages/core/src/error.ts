/**
 * The base of every error that harrierhitch raises.
 *
 * @packageDocumentation
 */

/** An error with a stable code. Every failure of harrierhitch is a subclass of it. */
export abstract class HarrierhitchError extends Error {
    /** A stable, machine-readable code in kebab case. */
    abstract readonly code: string;

    /**
     * @param message - What failed, in a full sentence without the trailing stop.
     * @param options - The underlying cause, where there is one.
     */
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** Turns anything thrown into an `Error`, so that logs and causes are uniform. */
export const asError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown));
