/**
 * Lets a single trial request through for each quarantined signature.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { RequestSignature } from "@harrierhitch/decision";

/** Options of {@link QuarantineTrials}. */
export interface QuarantineTrialsOptions {
    /** Whether a trial of a signature is due and belongs to this instance. */
    readonly isTrialDue: (signature: RequestSignature) => boolean;
    readonly onTrial: (request: RequestId, signatures: readonly RequestSignature[]) => void;
}

/** Admits one request for each quarantined signature; a trial that may have run is not repeated, whatever its result. */
export class QuarantineTrials {
    private readonly trialRequests = new Map<RequestSignature, RequestId>();
    /** Trials that are not completed. */
    private readonly activeTrials = new Set<RequestId>();

    /** @param options - Callbacks. */
    constructor(private readonly options: QuarantineTrialsOptions) {}

    /** Whether a request may be sent although its signatures are quarantined; if so, it becomes their trial. */
    tryAdmit(request: RequestId, signatures: readonly RequestSignature[]): boolean {
        if (this.activeTrials.has(request)) {
            return signatures.every(signature => this.trialRequests.get(signature) === request);
        }
        if (!signatures.every(signature => !this.trialRequests.has(signature) && this.options.isTrialDue(signature))) {
            return false;
        }
        signatures.forEach(signature => this.trialRequests.set(signature, request));
        this.activeTrials.add(request);
        this.options.onTrial(request, signatures);
        return true;
    }

    /** Whether a request is a running trial. */
    includes(request: RequestId): boolean {
        return this.activeTrials.has(request);
    }

    /** Records a completed request; if it was a trial and has not run, another request may become the trial. */
    recordCompleted(request: RequestId, mayHaveRun: boolean): void {
        if (this.activeTrials.delete(request) && !mayHaveRun) {
            [...this.trialRequests].filter(([, trial]) => trial === request).forEach(([signature]) =>
                this.trialRequests.delete(signature)
            );
        }
    }

    /** Removes a signature that is no longer quarantined. */
    remove(signature: RequestSignature): void {
        this.trialRequests.delete(signature);
    }
}
