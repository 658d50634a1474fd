/**
 * Times in texts.
 *
 * @packageDocumentation
 */

/** Units of a time, with the number of decimal places by which they differ from a millisecond. */
const decimalPlaces = { ms: 0, s: 3 } as const;

/**
 * Converts a time to milliseconds without the rounding errors of a multiplication: 16.1 s are 16,100 ms.
 *
 * @param amount - A decimal number without a sign.
 * @param unit - Its unit.
 */
export const toMilliseconds = (amount: string, unit: keyof typeof decimalPlaces): number =>
    Number(`${amount}e${decimalPlaces[unit]}`);
