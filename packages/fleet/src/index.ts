/**
 * Membership and gossip between instances, and the distribution of the published state.
 *
 * @packageDocumentation
 */

export { DrainGossip, type DrainMessage } from "./drain-gossip.js";
export { type ExchangeReason } from "./exchange-reason.js";
export { type FleetOptions } from "./fleet-options.js";
export { Fleet } from "./fleet.js";
export { MemberAssignment } from "./member-assignment.js";
export { type MemberState } from "./member.js";
export { callWithTimeout, type PeerAddress, type PeerClients } from "./peer-clients.js";
export { peerService, type PeerServiceOptions } from "./peer-service.js";
export { selectReaders, selectRelays } from "./select-distributors.js";
export { StalenessTracker } from "./staleness-tracker.js";
