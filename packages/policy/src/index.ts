/**
 * Policies: CEL expressions that select upstreams and decide when to hold or refuse requests.
 *
 * @packageDocumentation
 */

export { type ClauseName, clauseNames } from "./clause.js";
export { maximumClauseNodes } from "./environment.js";
export { PolicyCheckError, PolicyRunError } from "./policy-error.js";
export { type PolicySource } from "./policy-source.js";
export { Policy } from "./policy.js";
export { type RequestFacts } from "./request-facts.js";
export { type ServiceFacts } from "./service-facts.js";
export { type UpstreamFacts, type UpstreamState } from "./upstream-facts.js";
