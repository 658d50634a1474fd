/**
 * Parsing, validation and reference documentation of the daemon's settings and the
 * published configuration.
 *
 * @packageDocumentation
 */

export { checkDocument, type CheckResult } from "./check.js";
export { configurationSchema } from "./configuration-schema.js";
export { type ConfigurationVersion, lazyDocumentHash } from "./configuration-version.js";
export {
    checkConfiguration,
    checkDocumentSize,
    checkParsedConfiguration,
    type Configuration,
    type ConfigurationContext,
    maximumDocumentBytes,
} from "./configuration.js";
export { createRecord } from "./create-record.js";
export { type Finding, formatFinding } from "./finding.js";
export { IniDocument, type IniValue } from "./ini-document.js";
export { InvalidDocumentError } from "./invalid-document-error.js";
export {
    booleanKey,
    choiceKey,
    type Endpoint,
    integerKey,
    nameKey,
    namePattern,
    numberKey,
    optionalSection,
    parseEndpoint,
    textKey,
} from "./key.js";
export { toMilliseconds } from "./parse-time.js";
export {
    type ChooserName,
    chooserNames,
    policySectionsSchema,
    type RetryAfterMode,
    retryAfterModes,
    type ZonePlacementName,
    zonePlacementNames,
} from "./policy-schema.js";
export { referenceMarkdown } from "./reference.js";
export { type RequestKind, type Route, type RouteGroup, selectRoute, type WeightedRoute } from "./route.js";
export { Router } from "./router.js";
export { checkPolicies, checkPolicyFile, policyFileSchema, type ServicePolicy } from "./service-policy.js";
export { type Service } from "./service.js";
export { type Settings, settingsSchema } from "./settings-schema.js";
export { checkSettings, isLoopback } from "./settings.js";
export { type DiscoveredUpstream, type Upstream } from "./upstream.js";
