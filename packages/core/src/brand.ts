/**
 * Branded types: distinct compile-time types for values of the same runtime type.
 *
 * @packageDocumentation
 */

declare const brand: unique symbol;

/** A `Base` value marked at compile time as `Name`, so that other `Base` values are not assignable to it. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };
