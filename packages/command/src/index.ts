/**
 * The operators' command line.
 *
 * @packageDocumentation
 */

export { explanationText } from "./explanation-text.js";
export { exitCodes } from "./failure.js";
export { runCommandProgram } from "./program.js";
export { replay, type ReplayedStep } from "./replay.js";
