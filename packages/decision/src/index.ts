/**
 * Choosing an upstream, limits, health, budgets and retries.
 *
 * @packageDocumentation
 */

export { type AttemptEnd, type AttemptResult, outcomeOf } from "./attempt-result.js";
export { type Belief, type BeliefOptions, defaultBeliefOptions } from "./belief.js";
export { type Choice, type Chooser, type ChooserInput } from "./chooser.js";
export { choosers, drawNumbers } from "./choosers.js";
export {
    type ColdAdmission,
    type ColdUpstream,
    SharedColdAdmission,
    type SharedColdAdmissionOptions,
    unboundedColdAdmission,
} from "./cold-admission.js";
export { CrashLedger, type CrashLedgerOptions } from "./crash-ledger.js";
export { withheldRequests } from "./crash-verdict.js";
export { decide, type DecisionPolicy, retryAfterOf } from "./decide.js";
export { type DecisionInput } from "./decision-input.js";
export {
    type ChooseDecision,
    type Decision,
    type Exclusion,
    type HoldDecision,
    type PolicyFailure,
    type RefuseDecision,
} from "./decision.js";
export { type EndedRun } from "./ended-run.js";
export { toExpectation } from "./expectation.js";
export { workTime } from "./expected-time-chooser.js";
export { LimitAdmission, type LimitAdmissionOptions, type LimitPace, type LimitShare, wholeShare } from "./limit-admission.js";
export { type LoadFigures, type Observation } from "./observation.js";
export { bestTime, isGoodNow, mayBeChosen, probeTargets, type Room, roomAtBest, roomInMs } from "./probe-targets.js";
export { type RequestPattern } from "./request-traits.js";
export { comeBackMs, waitForAllMs, type Waiting } from "./resting.js";
export { RetryBudget, type RetryBudgetOptions } from "./retry-budget.js";
export { type ServiceBeliefsOptions } from "./service-beliefs-options.js";
export { ServiceBeliefs } from "./service-beliefs.js";
export { initialDynamics, type WorkReading } from "./service-dynamics.js";
export { type Flight, isSameStart, type KnownUpstream } from "./tracked-upstream.js";
export {
    type KnownLimit,
    type LimitChange,
    type LimitWord,
    type ToldLimit,
    UpstreamLimits,
    type UpstreamLimitsOptions,
} from "./upstream-limits.js";
export { UpstreamNotices, type UpstreamNoticesOptions } from "./upstream-notices.js";
export { UsualPatience } from "./usual-patience.js";
export { UsualTimes } from "./usual-time.js";
