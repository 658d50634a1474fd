/**
 * Finds responses that cannot be passed on.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { isSupportedTransferCoding } from "../transfer-coding.js";

const lowestStatus = 100;

/** Returns why the head of a response cannot be used; `undefined` if it can. */
export const findResponseProblem = ({ statusCode = 0, headers }: IncomingMessage): string | undefined => {
    const coding = headers["transfer-encoding"];
    if (statusCode < lowestStatus) {
        return `the status ${statusCode} is not valid`;
    }
    return isSupportedTransferCoding(coding) ? undefined : `the transfer coding ${coding} is not supported`;
};
