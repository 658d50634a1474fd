/**
 * Invalid headers of answers.
 *
 * @packageDocumentation
 */

/** Headers with invalid values; instances ignore the header and use the rest of the response. */
export const invalidHeaders: readonly Readonly<Record<string, string>>[] = [
    { "x-upstream-limit": "-1" },
    { "x-upstream-limit": "some" },
    { "retry-after": "soon" },
    { "x-upstream-in-flight": "many" },
    { "x-upstream-state": "fine" },
];
