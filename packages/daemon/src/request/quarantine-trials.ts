/**
 * Trying once what is withheld.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { RequestSignature } from "@harrierhitch/decision";

/** Options of {@link QuarantineTrials}. */
export interface QuarantineTrialsOptions {
    /** Whether what is withheld may be tried now, and by this instance. */
    readonly mayTry: (pattern: RequestSignature) => boolean;
    /** Told of a request that tries. */
    readonly onTrial: (request: RequestId, patterns: readonly RequestSignature[]) => void;
}

/**
 * Lets one request of this instance through, once for each pattern that is withheld: one that ends upstreams costs
 * one more, and an innocent is found out by its answer. Whatever becomes of a trial that may have run, it is the only one.
 */
export class QuarantineTrials {
    private readonly triedBy = new Map<RequestSignature, RequestId>();
    /** The requests that try, while they have no answer. */
    private readonly trying = new Set<RequestId>();

    /** @param options - What may be tried. */
    constructor(private readonly options: QuarantineTrialsOptions) {}

    /** Whether a request may be sent although it is withheld for some patterns. */
    admits(request: RequestId, patterns: readonly RequestSignature[]): boolean {
        if (this.trying.has(request)) {
            return patterns.every(pattern => this.triedBy.get(pattern) === request);
        }
        if (!patterns.every(pattern => !this.triedBy.has(pattern) && this.options.mayTry(pattern))) {
            return false;
        }
        patterns.forEach(pattern => this.triedBy.set(pattern, request));
        this.trying.add(request);
        this.options.onTrial(request, patterns);
        return true;
    }

    /** Whether a request is one that tries. */
    includes(request: RequestId): boolean {
        return this.trying.has(request);
    }

    /** Notes that a request has got its answer; one that has not run leaves the trial to another. */
    noteSettled(request: RequestId, mayHaveRun: boolean): void {
        if (this.trying.delete(request) && !mayHaveRun) {
            [...this.triedBy].filter(([, by]) => by === request).forEach(([pattern]) => this.triedBy.delete(pattern));
        }
    }

    /** Forgets a pattern that is no longer withheld. */
    forget(pattern: RequestSignature): void {
        this.triedBy.delete(pattern);
    }
}
