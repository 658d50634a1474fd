/**
 * Checks services after the path to another one was lost.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@harrierhitch/core";

/** Services that are checked at the same time. */
const servicesAtOnce = 8;

/**
 * Checks a few services at a time until one of them can be reached; the others then find out by their own failures.
 *
 * @param services - The services.
 * @param survey - Checks one; returns whether it can be reached.
 */
export const surveyServices = async (
    services: readonly ServiceName[],
    survey: (service: ServiceName) => Promise<boolean>,
): Promise<void> => {
    const remaining = [...services];
    let isAnyReachable = false;
    while (remaining.length > 0 && !isAnyReachable) {
        const states = await Promise.all(remaining.splice(0, servicesAtOnce).map(survey));
        isAnyReachable = states.includes(true);
    }
};
