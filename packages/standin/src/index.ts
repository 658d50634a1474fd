/**
 * Stand-ins for the platform, upstreams and callers.
 *
 * @packageDocumentation
 */

export { type PlatformBehaviour, PlatformStandin } from "./platform-standin.js";
export { runStandinProgram } from "./program.js";
export { runQuickstart } from "./quickstart.js";
export { defaultUpstreamBehaviour, type UpstreamBehaviour } from "./upstream-behaviour.js";
export { behaviourPath, UpstreamStandin } from "./upstream-standin.js";
