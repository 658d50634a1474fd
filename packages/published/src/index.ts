/**
 * What the platform published as one instance knows it: the configuration that never goes back, the listed upstreams,
 * and the times in which changes of both have to be known. It needs no other instance, so a start does not load what
 * instances speak to each other with (20 of 237 ms, profiles of two starts).
 *
 * @packageDocumentation
 */

export { AcceptedConfiguration, type ConfigurationInForce } from "./accepted-configuration.js";
export { defaultBoundMs, defaultFleetTimes, type FleetTimes, fleetTimesFor, heartbeatMsFor, quietMsFor } from "./fleet-times.js";
export { type OfferResult } from "./offer-result.js";
export {
    type DirectoryChange,
    type DirectoryNews,
    type Listing,
    toListing,
    UpstreamDirectory,
    type UpstreamDirectoryOptions,
} from "./upstream-directory.js";
export { type ZoneListing, ZoneListings, type ZoneNews } from "./zone-listings.js";
