/**
 * Entry instances acting together: membership, who reads the platform, how its news
 * and observations reach everyone.
 *
 * @packageDocumentation
 */

export { ChosenMembers } from "./chosen-members.js";
export { type ExchangeReason } from "./exchange-reason.js";
export { type FleetOptions } from "./fleet-options.js";
export { Fleet } from "./fleet.js";
export { Freshness } from "./freshness.js";
export { type MemberState } from "./member.js";
export { callWithin, type PeerAddress, type PeerClients } from "./peer-clients.js";
export { peerService, type PeerServiceOptions } from "./peer-service.js";
export { type HeardRumor, Rumors } from "./rumors.js";
export { readersOf, relaysOf } from "./sources.js";
