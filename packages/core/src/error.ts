/**
 * The base class of harrierhitch's errors.
 *
 * @packageDocumentation
 */

/** Base class of all errors that harrierhitch throws; each subclass has a stable code. */
export abstract class HarrierhitchError extends Error {
    /** Stable machine-readable code in kebab case. */
    abstract readonly code: string;

    /**
     * @param message - Description of the failure, without a trailing full stop.
     * @param options - The underlying cause, if any.
     */
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** Returns a thrown value as an `Error`, wrapping values that are not errors. */
export const asError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown));
