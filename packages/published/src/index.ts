/**
 * The published state as known to one instance: the configuration and the discovered upstreams, and the times within which
 * changes have to reach all instances. It doesn't depend on the protocol between instances, which takes a twelfth
 * of a start to load.
 *
 * @packageDocumentation
 */

export { ActiveConfiguration, type LoadedConfiguration, type RejectedConfiguration } from "./active-configuration.js";
export { type ApplyResult } from "./apply-result.js";
export { type DirectoryEntry, toDirectoryEntry } from "./directory-entry.js";
export {
    defaultBoundMs,
    defaultFleetTimes,
    type FleetTimes,
    fleetTimesFor,
    heartbeatMsFor,
    quietIntervalMsFor,
} from "./fleet-times.js";
export {
    type DirectoryChange,
    type DirectoryUpdate,
    UpstreamDirectory,
    type UpstreamDirectoryOptions,
} from "./upstream-directory.js";
export { type ZoneStatus, ZoneStatusTable, type ZoneUpdate } from "./zone-status-table.js";
