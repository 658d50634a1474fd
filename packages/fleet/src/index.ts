/**
 * Entry instances acting together: membership, configuration that never goes
 * back, observations, and keyed requests that run at most once.
 *
 * @packageDocumentation
 */

export { AcceptedConfiguration, type ConfigurationInForce } from "./accepted-configuration.js";
export { AnswerShelf, type KeyedResult } from "./answer-shelf.js";
export { type ClaimResult } from "./claim-result.js";
export { Claimer } from "./claimer.js";
export { defaultFleetTimes, type FleetTimes } from "./fleet-times.js";
export { Fleet, type FleetOptions } from "./fleet.js";
export { type KeptAnswer } from "./kept-answer.js";
export { keyMadeAtUnixMs } from "./key-time.js";
export { chooseLinks } from "./links.js";
export { type MemberState } from "./member.js";
export { type OfferResult } from "./offer-result.js";
export { callWithin, type PeerAddress, type PeerClients } from "./peer-clients.js";
export { peerService, type PeerServiceOptions } from "./peer-service.js";
export { isReader, readerCount } from "./readers.js";
export { type HeardRumor, type RumorType } from "./rumors.js";
export { View } from "./view.js";
