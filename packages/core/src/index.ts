/**
 * Identifiers, errors, clocks, random sources and request outcomes that all packages share.
 *
 * @packageDocumentation
 */

export { AutoResetEvent } from "./auto-reset-event.js";
export { type Branded } from "./brand.js";
export { type Clock, sleep, type Timer } from "./clock.js";
export { Deadline } from "./deadline.js";
export { detachText } from "./detach-text.js";
export { asError, HarrierhitchError } from "./error.js";
export { FakeClock } from "./fake-clock.js";
export {
    type Generation,
    generation,
    type InstanceId,
    instanceId,
    type RequestId,
    requestId,
    type RequestKey,
    requestKey,
    type ServiceName,
    serviceName,
    type UpstreamId,
    upstreamId,
} from "./ids.js";
export { type Outcome } from "./outcome.js";
export { type RandomSource } from "./random.js";
export { rendezvousOrder } from "./rendezvous.js";
export { SeededRandom } from "./seeded-random.js";
export { SystemClock, type SystemClockOptions } from "./system-clock.js";
export { SystemRandom } from "./system-random.js";
