/**
 * Begins attempts, also those that cannot be sent.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import { describeError } from "./attempt-end.js";
import type { Attempt } from "./upstream-transport.js";

/** Returns an attempt of which nothing is sent. */
export const unsentAttempt = (detail: string): Attempt => {
    const result = Promise.resolve({ end: "connect-failed", status: undefined, detail, sent: false } as const);
    return { result, cancel: () => undefined, resume: () => undefined };
};

/**
 * Begins an attempt. Node throws for a request with an invalid name, value, path or port, before anything is sent; the attempt ends with
 * that error, so that it affects no other one.
 *
 * @param open - Opens the request.
 */
export const openAttempt = (open: () => Attempt): Attempt => {
    try {
        return open();
    }
    catch (thrown) {
        return unsentAttempt(describeError(asError(thrown)));
    }
};
