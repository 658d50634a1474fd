/**
 * Creation of objects with many names.
 *
 * @packageDocumentation
 */

/**
 * Creates an object from its entries. Unlike `Object.fromEntries`, it does not derive a hidden class for each of the first
 * thousand names, which takes longer than the rest of a large configuration.
 *
 * @param entries - Names and values; of the same name the last counts.
 */
export const createRecord = <Value>(entries: readonly (readonly [string, Value])[]): Readonly<Record<string, Value>> => {
    // An object without a prototype is a dictionary from the start.
    const record = Object.create(null) as Record<string, Value>;
    entries.forEach(([name, value]) => {
        record[name] = value;
    });
    return record;
};
