/**
 * Guards against a streamed response that looks complete although its upstream stopped within the head, and against a request that
 * runs twice because of it.
 */

import { testCutHeads } from "./cut-heads.js";

testCutHeads("answerBufferBytes = 0\n");
