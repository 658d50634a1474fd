/**
 * Looking behind the wrappers of a schema.
 *
 * @packageDocumentation
 */

/** The schema behind defaults and other wrappers. */
export const unwrapSchema = (schema: unknown): object | undefined => {
    const definition = (schema as { def?: { innerType?: unknown; }; } | undefined)?.def;
    return definition?.innerType === undefined ? schema as object | undefined : unwrapSchema(definition.innerType);
};
