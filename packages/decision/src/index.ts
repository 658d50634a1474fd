/**
 * Selecting an upstream for a request, concurrency and rate limits, health, retry budgets and quarantines.
 *
 * @packageDocumentation
 */

export { type AttemptEnd, type AttemptResult, outcomeOf } from "./attempt-result.js";
export { CallerTimeoutEstimator } from "./caller-timeout-estimator.js";
export { type Chooser, type ChooserInput, type Selection } from "./chooser.js";
export { choosers, drawNumbers, probeCostOf } from "./choosers.js";
export {
    type ColdAdmission,
    type ColdUpstream,
    SharedColdAdmission,
    type SharedColdAdmissionOptions,
    unboundedColdAdmission,
} from "./cold-admission.js";
export { CrashHistory, type CrashHistoryOptions } from "./crash-history.js";
export { type CrashRecord } from "./crash-record.js";
export { decide, type DecisionPolicy } from "./decide.js";
export { type DecisionInput } from "./decision-input.js";
export {
    type ChooseDecision,
    type Decision,
    type Exclusion,
    type HoldDecision,
    type PolicyFailure,
    type RefuseDecision,
} from "./decision.js";
export { expectedResponseTime } from "./expected-time-chooser.js";
export { assumedResponseShare, LatencyBaselines } from "./latency-baselines.js";
export { fullShare, LimitAdmission, type LimitAdmissionOptions, type LimitPace, type LimitShare } from "./limit-admission.js";
export { predictLoad } from "./load-prediction.js";
export { isMisdirected } from "./misdirection.js";
export { type LoadFigures, type Observation } from "./observation.js";
export { PayloadSizes } from "./payload-sizes.js";
export { detectPoisonRequests } from "./poison-detection.js";
export {
    hasCurrentReport,
    type Headroom,
    headroomAtBest,
    headroomInMs,
    isEligible,
    isKnownGood,
    minExpectedTime,
    selectProbeTargets,
} from "./probe-targets.js";
export { refusalRetryAfterMs, type RefusedRequest, type RetryAfterPolicy } from "./refusal-retry-after.js";
export { type RequestSignature } from "./request-attributes.js";
export { RetryBudget, type RetryBudgetOptions, type RetryLimit } from "./retry-budget.js";
export { RetryWindow, type RetryWindowOptions } from "./retry-window.js";
export { initialLoadModel, type ResponseSample } from "./service-load-model.js";
export { type ReserveInput, reserveShareOf, ShortageHistory, withReserve } from "./shortage-history.js";
export { canStall, detectStall, stallBoundMs, type StallInput, type StallState } from "./stall-detection.js";
export { type InFlightRequest, isSameIncarnation, type UpstreamEntry } from "./tracked-upstream.js";
export { earliestAvailableMs, jitteredRetryAfterMs, type UpstreamWait } from "./upstream-backoff.js";
export { estimateDefaults, type EstimateOptions, type UpstreamEstimate } from "./upstream-estimate.js";
export {
    type LimitChange,
    type LimitNotice,
    type StoredLimit,
    type UpstreamLimitNotice,
    UpstreamLimits,
    type UpstreamLimitsOptions,
} from "./upstream-limits.js";
export { UpstreamNotices, type UpstreamNoticesOptions } from "./upstream-notices.js";
export { type UpstreamTrackerOptions } from "./upstream-tracker-options.js";
export { UpstreamTracker } from "./upstream-tracker.js";
export {
    type Placement,
    type PlacementInput,
    type PlacementReason,
    type PlacementRequest,
    type PlacementScope,
    type ZonePlacement,
} from "./zone-placement.js";
export { placementNameOf, zonePlacements } from "./zone-placements.js";
