/**
 * Finds responses that cannot be passed on.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { isSupportedTransferCoding } from "../transfer-coding.js";

/**
 * Statuses of final responses (RFC 9110, section 15). Informational ones precede them; a switch of protocols (101), which no forwarded
 * request asks for, would leave both sides waiting.
 */
const finalStatuses = { lowest: 200, highest: 599 } as const;

/** Names that a message may contain (RFC 9110, section 5.6.2); some parsers accept others, which nobody can write. */
const headerName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** Start of a status line; in a reason phrase it begins another response, behind a head that broke off. */
const statusLine = /HTTP\/\d/;

/** Returns why the head of a response cannot be used; `undefined` if it can. */
export const findResponseProblem = ({ statusCode = 0, statusMessage = "", headers }: IncomingMessage): string | undefined => {
    const invalidName = Object.keys(headers).find(name => !headerName.test(name));
    if (invalidName !== undefined) {
        return `the header name ${JSON.stringify(invalidName)} is not valid`;
    }
    const coding = headers["transfer-encoding"];
    if (statusCode < finalStatuses.lowest || statusCode > finalStatuses.highest) {
        return `the status ${statusCode} is not that of a final response`;
    }
    if (statusLine.test(statusMessage)) {
        return "the reason phrase contains another status line";
    }
    return isSupportedTransferCoding(coding) ? undefined : `the transfer coding ${coding} is not supported`;
};
