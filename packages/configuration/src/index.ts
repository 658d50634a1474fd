/**
 * Settings of a daemon and the published configuration: reading, checking and
 * reference.
 *
 * @packageDocumentation
 */

export { checkDocument, type Checked } from "./check.js";
export { type ChooserName, chooserNames, configurationSchema, policySectionsSchema } from "./configuration-schema.js";
export {
    checkConfiguration,
    type Configuration,
    type Kind,
    maximumDocumentBytes,
    type Route,
    type Service,
    type Upstream,
} from "./configuration.js";
export { type Finding, formatFinding } from "./finding.js";
export { checkInstanceList, type InstanceList, instanceListSchema, type ListedInstance } from "./instance-list.js";
export { InvalidDocumentError } from "./invalid-document-error.js";
export { booleanKey, choiceKey, integerKey, nameKey, namePattern, numberKey, optionalSection, textKey } from "./key.js";
export { LocatedIni } from "./located-ini.js";
export { referenceMarkdown } from "./reference.js";
export { Router } from "./router.js";
export { checkPolicies, type ServicePolicy } from "./service-policy.js";
export { checkSettings, isLoopback, type Settings, settingsSchema } from "./settings.js";
