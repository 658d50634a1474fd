/**
 * The command line for operators.
 *
 * @packageDocumentation
 */

export { formatExplanation } from "./explanation-text.js";
export { exitCodes } from "./failure.js";
export { runCommandProgram } from "./program.js";
export { references } from "./reference-command.js";
export { replay, type ReplayedStep } from "./replay.js";
export { readScenario } from "./scenario.js";
export { statusText } from "./status-command.js";
export { readPolicy } from "./try-command.js";
