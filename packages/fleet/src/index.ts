/**
 * Entry instances acting together.
 *
 * @packageDocumentation
 */

export { AcceptedConfiguration, type ConfigurationInForce } from "./accepted-configuration.js";
export { type OfferResult } from "./offer-result.js";
