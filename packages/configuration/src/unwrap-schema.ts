/**
 * Access to the inner schema of wrapped schemas.
 *
 * @packageDocumentation
 */

/** Returns the inner schema without defaults and other wrappers. */
export const unwrapSchema = (schema: unknown): object | undefined => {
    const definition = (schema as { def?: { innerType?: unknown; }; } | undefined)?.def;
    return definition?.innerType === undefined ? schema as object | undefined : unwrapSchema(definition.innerType);
};
