/**
 * Settings of a daemon and the published configuration: reading, checking and
 * reference.
 *
 * @packageDocumentation
 */

export { type Checked } from "./check.js";
export { type ChooserName, chooserNames, configurationSchema } from "./configuration-schema.js";
export {
    checkConfiguration,
    type Configuration,
    type Kind,
    maximumDocumentBytes,
    type Route,
    type Service,
    type ServicePolicy,
    type Upstream,
} from "./configuration.js";
export { type Finding, formatFinding } from "./finding.js";
export { checkInstanceList, type InstanceList, instanceListSchema, type ListedInstance } from "./instance-list.js";
export { InvalidDocumentError } from "./invalid-document-error.js";
export { Router } from "./router.js";
export { checkSettings, isLoopback, type Settings, settingsSchema } from "./settings.js";
